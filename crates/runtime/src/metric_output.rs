//! Keeps metrics for reading as text and sends them to a statsd listener.

use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;

use anyhow::Result;
use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use mulberrywell_role::MetricKind;
use mulberrywell_settings::MetricSettings;

use crate::metric_text::MetricRegistry;

/// Metrics that may wait to be sent; further ones are dropped.
const QUEUE_LEN: usize = 16 * 1024;

const PREFIX: &str = "mulberrywell";

/// Where metrics go.
#[derive(Clone)]
pub struct MetricOutput {
    client: Rc<StatsdClient>,
    registry: Rc<RefCell<MetricRegistry>>,
    /// Set where no listener of statsd is named.
    is_local: bool,
}

impl MetricOutput {
    /// Opens the output that the settings name.
    ///
    /// # Errors
    /// Fails when no socket can be had.
    pub fn open(settings: &MetricSettings) -> Result<Self> {
        let client = match settings.statsd {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket)?;
                let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LEN);
                StatsdClient::from_sink(PREFIX, queue)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(MetricOutput {
            client: Rc::new(client),
            registry: Rc::default(),
            is_local: settings.statsd.is_none(),
        })
    }

    /// Reports one metric; a full queue drops it.
    pub fn report(&self, kind: MetricKind, name: &str, value: u64) {
        self.registry.borrow_mut().record(kind, name, value);
        if self.is_local {
            return;
        }
        let sent = match kind {
            MetricKind::Count => self.client.count(name, value).is_ok(),
            MetricKind::Gauge => self.client.gauge(name, value).is_ok(),
            MetricKind::TimeMs => self.client.time(name, value).is_ok(),
        };
        if !sent {
            spdlog::debug!("metrics: dropped {}", name);
        }
    }

    /// Returns all metrics as text.
    pub fn to_text(&self) -> String {
        self.registry.borrow().to_text()
    }
}

//! Collects metrics for the text output and sends them to a statsd listener.

use std::cell::RefCell;
use std::net::UdpSocket;
use std::rc::Rc;

use anyhow::Result;
use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use mulberrywell_role::MetricKind;
use mulberrywell_settings::MetricSettings;

use crate::metric_text::MetricRegistry;

/// Capacity of the send queue; when it is full, metrics are dropped.
const QUEUE_LEN: usize = 16 * 1024;

const PREFIX: &str = "mulberrywell";

/// Output of metrics.
#[derive(Clone)]
pub struct MetricOutput {
    client: Rc<StatsdClient>,
    registry: Rc<RefCell<MetricRegistry>>,
    /// Set when the settings specify no statsd listener.
    is_local: bool,
}

impl MetricOutput {
    /// Opens the output that the settings specify.
    ///
    /// # Errors
    /// Fails when the socket can't be opened.
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

    /// Records one metric and sends it to statsd; a full queue drops the
    /// message to statsd.
    pub fn report(&self, kind: MetricKind, name: &str, value: u64) {
        self.registry.borrow_mut().record(kind, name, value);
        if self.is_local {
            return;
        }
        let sent = match kind {
            MetricKind::Count => self.client.count(name, value).is_ok(),
            MetricKind::Gauge => self.client.gauge(name, value).is_ok(),
            MetricKind::DurationMs => self.client.time(name, value).is_ok(),
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

//! Sends metrics to a statsd listener.

use std::net::UdpSocket;

use anyhow::Result;
use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use mulberrywell_role::MetricKind;
use mulberrywell_settings::MetricSettings;

/// Metrics that may wait to be sent; further ones are dropped.
const QUEUE_LEN: usize = 16 * 1024;

const PREFIX: &str = "mulberrywell";

/// Where metrics go.
#[derive(Clone)]
pub struct MetricOutput {
    client: std::sync::Arc<StatsdClient>,
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
            client: std::sync::Arc::new(client),
        })
    }

    /// Reports one metric; a full queue drops it.
    pub fn report(&self, kind: MetricKind, name: &str, value: u64) {
        let sent = match kind {
            MetricKind::Count => self.client.count(name, value).is_ok(),
            MetricKind::Gauge => self.client.gauge(name, value).is_ok(),
            MetricKind::TimeMs => self.client.time(name, value).is_ok(),
        };
        if !sent {
            spdlog::debug!("metrics: dropped {}", name);
        }
    }
}

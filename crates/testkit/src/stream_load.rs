//! Load generator that sends streamed completions and measures their latencies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{bail, Result};
use hdrhistogram::Histogram;

/// Upper bound of the histograms in microseconds; longer times are recorded as
/// this value.
const TIME_MAX_US: u64 = 60_000_000;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Time over which the starts of the streams are spread.
const START_WINDOW: Duration = Duration::from_secs(1);

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct StreamPlan {
    /// Address to send requests to.
    pub address: SocketAddr,
    /// API key of the caller; none if an engine is called directly.
    pub key: Option<String>,
    /// Name of the model.
    pub model: String,
    /// Number of concurrent streams.
    pub streams: u32,
    /// Number of consecutive requests of each stream.
    pub requests: u32,
    /// Number of tokens of each request.
    pub tokens: u64,
}

/// Latencies in microseconds.
#[derive(Debug, Clone)]
pub struct StreamTimes {
    /// Time from the request to the first token.
    pub time_to_first_token: Histogram<u64>,
    /// Time between consecutive tokens.
    pub inter_token_time: Histogram<u64>,
    /// Number of requests without a complete response.
    pub failed: u64,
}

impl StreamTimes {
    /// Creates empty histograms.
    ///
    /// # Errors
    /// Fails if the bounds of the histograms are invalid.
    pub fn new() -> Result<Self> {
        let times = Histogram::new_with_bounds(1, TIME_MAX_US, SIGNIFICANT_DIGITS)?;
        Ok(StreamTimes {
            time_to_first_token: times.clone(),
            inter_token_time: times,
            failed: 0,
        })
    }

    /// Adds the times of another run.
    ///
    /// # Errors
    /// Fails if the bounds of the histograms differ.
    pub fn add(&mut self, other: &StreamTimes) -> Result<()> {
        self.time_to_first_token.add(&other.time_to_first_token)?;
        self.inter_token_time.add(&other.inter_token_time)?;
        self.failed += other.failed;
        Ok(())
    }
}

/// Sends all requests of a plan and returns their latencies.
///
/// # Errors
/// Fails if the histograms can't be created or a stream's thread panicked.
pub fn run_streams(plan: &StreamPlan) -> Result<StreamTimes> {
    let all = Mutex::new(StreamTimes::new()?);
    thread::scope(|scope| {
        for idx in 0..plan.streams {
            let all = &all;
            scope.spawn(move || {
                thread::sleep(START_WINDOW * idx / plan.streams);
                let Ok(mut times) = StreamTimes::new() else {
                    return;
                };
                for number in 0..plan.requests {
                    if run_request(plan, idx, number, &mut times).is_err() {
                        times.failed += 1;
                    }
                }
                if let Ok(mut all) = all.lock() {
                    // Adding can't fail because the bounds are the same.
                    let _ = all.add(&times);
                }
            });
        }
    });
    all.into_inner()
        .map_err(|_| anyhow::anyhow!("a stream's thread panicked"))
}

fn run_request(plan: &StreamPlan, stream: u32, number: u32, times: &mut StreamTimes) -> Result<()> {
    let body = serde_json::json!({
        "model": plan.model,
        "prompt": format!("stream {stream} request {number}"),
        "max_tokens": plan.tokens,
        "stream": true,
    })
    .to_string();
    let key = match &plan.key {
        Some(key) => format!("Authorization: Bearer {key}\r\n"),
        None => String::new(),
    };
    let mut socket = TcpStream::connect(plan.address)?;
    socket.set_nodelay(true)?;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n{key}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let sent = Instant::now();
    socket.write_all(format!("{head}{body}").as_bytes())?;
    read_tokens(&mut socket, plan.tokens, sent, times)
}

/// Reads until the stream's last event and records the arrival times of its
/// tokens.
fn read_tokens(
    socket: &mut TcpStream,
    tokens: u64,
    sent: Instant,
    times: &mut StreamTimes,
) -> Result<()> {
    let mut buf = [0; 16 * 1024];
    let mut text = String::new();
    let mut recorded = 0;
    let mut last = sent;
    loop {
        let len = socket.read(&mut buf)?;
        if len == 0 {
            bail!("response ended before the last event");
        }
        let now = Instant::now();
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        let received = text.matches("\"content\"").count() as u64;
        for idx in recorded..received {
            let time = micros(now.saturating_duration_since(last));
            match idx {
                0 => times.time_to_first_token.saturating_record(time),
                _ => times.inter_token_time.saturating_record(time),
            }
            last = now;
        }
        recorded = received;
        if text.contains("[DONE]") {
            if recorded != tokens {
                bail!("response truncated: got {recorded} of {tokens} tokens");
            }
            return Ok(());
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}

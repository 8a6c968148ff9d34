//! Sets up the process's log.
//!
//! Guarantees: logging never blocks: lines go through a bounded queue to a
//! thread of the library, and a full queue drops the line.

use std::num::NonZeroUsize;
use std::sync::Arc;

use anyhow::{Context, Result};
use mulberrywell_settings::LogSettings;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::prelude::*;
use spdlog::sink::{AsyncPoolSink, FileSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::ThreadPool;

/// Capacity of the line queue.
const QUEUE_LEN: NonZeroUsize = NonZeroUsize::new(8_192).expect("not 0");

/// Levels by their names in the settings.
const LEVELS: [(&str, Level); 6] = [
    ("trace", Level::Trace),
    ("debug", Level::Debug),
    ("info", Level::Info),
    ("warn", Level::Warn),
    ("error", Level::Error),
    ("critical", Level::Critical),
];

/// Opens the log that the settings specify, for the whole process.
///
/// # Errors
/// Fails when the log file can't be opened.
pub fn open_log(settings: &LogSettings) -> Result<()> {
    let formatter = PatternFormatter::new(pattern!(
        "{date} {time}.{millisecond} {level}: {payload}{eol}"
    ));
    let sink: Arc<dyn Sink> = match &settings.file {
        Some(path) => FileSink::builder()
            .path(path)
            .formatter(formatter)
            .build_arc()
            .with_context(|| format!("can't open the log {}", path.display()))?,
        None => StdStreamSink::builder()
            .stdout()
            .formatter(formatter)
            .build_arc()?,
    };
    let queue = ThreadPool::builder().capacity(QUEUE_LEN).build_arc()?;
    let sink: Arc<dyn Sink> = AsyncPoolSink::builder()
        .sink(sink)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(queue)
        .error_handler(|_| {})
        .build_arc()?;
    let level = LEVELS
        .iter()
        .find(|(name, _)| *name == settings.level)
        .map_or(Level::Info, |(_, level)| *level);
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

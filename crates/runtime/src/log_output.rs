//! Sets up the process's log.

use std::sync::Arc;

use anyhow::{Context, Result};
use mulberrywell_settings::LogSettings;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::prelude::*;
use spdlog::sink::{FileSink, Sink, StdStream, StdStreamSink};

/// Levels by their names in the settings.
const LEVELS: [(&str, Level); 6] = [
    ("trace", Level::Trace),
    ("debug", Level::Debug),
    ("info", Level::Info),
    ("warn", Level::Warn),
    ("error", Level::Error),
    ("critical", Level::Critical),
];

/// Opens the log that the settings name, for the whole process.
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
            .stderr()
            .formatter(formatter)
            .build_arc()?,
    };
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
    let _ = StdStream::Stderr;
    Ok(())
}

//! The log file of a control instance.
//!
//! Each entry is a length, a CRC-32 and the data. Entries are synced together
//! in groups before they are reported; a torn tail is cut off at the start.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

use anyhow::{bail, Context, Result};
use bytes::Bytes;

/// Entries that may wait for the disk.
const QUEUE_LEN: usize = 4_096;

/// Bytes before the data of an entry.
const HEADER_LEN: usize = 8;

/// An entry on its way to the disk.
struct JournalEntry {
    index: u64,
    data: Bytes,
}

/// A running writer.
pub struct JournalFile {
    tx: SyncSender<JournalEntry>,
}

impl JournalFile {
    /// Opens the log in a folder; returns the entries that it holds.
    ///
    /// `synced` is called on the writer's thread with the last durable place.
    ///
    /// # Errors
    /// Fails when the folder or file can't be used.
    pub fn open(
        folder: &Path,
        synced: impl Fn(u64) + Send + 'static,
    ) -> Result<(Self, Vec<Bytes>)> {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("can't create {}", folder.display()))?;
        let path = folder.join("journal");
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .with_context(|| format!("can't open {}", path.display()))?;
        let entries = recover(&mut file)?;
        File::open(folder)?.sync_all()?;
        let (tx, rx) = sync_channel(QUEUE_LEN);
        thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || write_entries(&mut file, &rx, synced))?;
        Ok((JournalFile { tx }, entries))
    }

    /// Queues an entry.
    ///
    /// # Errors
    /// Fails when the writer has ended or its queue is full.
    pub fn append(&self, index: u64, data: Bytes) -> Result<()> {
        if self.tx.try_send(JournalEntry { index, data }).is_err() {
            bail!("the journal takes no entries");
        }
        Ok(())
    }
}

fn recover(file: &mut File) -> Result<Vec<Bytes>> {
    let mut content = Vec::new();
    file.read_to_end(&mut content)?;
    let mut entries = Vec::new();
    let mut offset = 0;
    while let Some(data) = next_entry(&content[offset..]) {
        offset += HEADER_LEN + data.len();
        entries.push(Bytes::copy_from_slice(data));
    }
    if offset < content.len() {
        spdlog::warn!("journal: cut {} torn bytes", content.len() - offset);
        file.set_len(offset as u64)?;
        file.sync_all()?;
    }
    file.seek(SeekFrom::Start(offset as u64))?;
    Ok(entries)
}

fn next_entry(content: &[u8]) -> Option<&[u8]> {
    let len = u32::from_be_bytes(content.get(..4)?.try_into().ok()?);
    let crc = u32::from_be_bytes(content.get(4..HEADER_LEN)?.try_into().ok()?);
    let data = content.get(HEADER_LEN..HEADER_LEN + usize::try_from(len).ok()?)?;
    (crc32fast::hash(data) == crc).then_some(data)
}

fn write_entries(file: &mut File, rx: &Receiver<JournalEntry>, synced: impl Fn(u64)) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        buf.clear();
        let mut last = first.index;
        encode(&first.data, &mut buf);
        while let Ok(next) = rx.try_recv() {
            last = next.index;
            encode(&next.data, &mut buf);
        }
        let written = file.write_all(&buf).and_then(|()| file.sync_data());
        if let Err(err) = written {
            // What is on the disk after a failed sync is not known.
            spdlog::error!("journal: write failed: {}", err);
            return;
        }
        synced(last);
    }
}

fn encode(data: &Bytes, buf: &mut Vec<u8>) {
    let len = u32::try_from(data.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(&crc32fast::hash(data).to_be_bytes());
    buf.extend_from_slice(data);
}

//! Crowds of callers that don't behave, and what a process holds for them.

use std::collections::BTreeSet;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use mulberrywell_testkit::read_usage;

use crate::gateway_crowds::ANSWER_TIMEOUT;

/// Longest body of a request, as the configurations of these tests set it.
pub const BODY_MAX: usize = 4 * 1024 * 1024;

/// Timeout of a caller's connection attempt, and of one of its writes.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a process is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Longest frame of a link before the peer has shown who it is.
const HANDSHAKE_FRAME_MAX: usize = 4 * 1024;

/// States in the system's table of connections.
const ESTABLISHED: &str = "01";
const LISTEN: &str = "0A";

/// Bytes that a caller writes at a time.
const WRITE_LEN: usize = 64 * 1024;

/// What each caller of a crowd sends before it stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdForm {
    /// A chunked body, one byte short of the limit, in chunks of this many bytes.
    ChunksShort(usize),
    /// A chunked body of this many bytes, in chunks of the second many bytes.
    SmallChunks(usize, usize),
    /// Chunks of one byte with long extensions.
    Extensions,
    /// A body with a length, one byte short.
    LengthShort,
    /// Chunks beyond the limit.
    EndlessChunks,
    /// A body whose length is far beyond the limit, and a part of it.
    HugeLength,
    /// The first half of a head.
    HalfHead,
    /// A long head without an end.
    LongHead,
    /// Nothing.
    Silent,
    /// A request, and a body's length behind it.
    BytesBehind,
    /// A complete request at the limit.
    Whole,
    /// A complete request without a body, whose response is read.
    Answered,
    /// A complete request with a short body.
    Short,
    /// A complete request with a body of about this many bytes, of as many equal items as
    /// they hold, and whose response is awaited.
    Items(ItemBody, usize),
    /// The first frame of a link, one byte short of the longest.
    FramePart,
}

/// A body with a list of equal items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemBody {
    pub before: &'static str,
    pub item: &'static str,
    pub after: &'static str,
}

impl ItemBody {
    /// Returns the body, of `len` bytes at most.
    pub fn text(self, len: usize) -> String {
        let room = len - self.before.len() - self.after.len();
        self.text_of((room + 1) / (self.item.len() + 1))
    }

    /// Returns the body with so many items, between which commas are.
    pub fn text_of(self, items: usize) -> String {
        let items = vec![self.item; items].join(",");
        [self.before, &items, self.after].concat()
    }
}

impl CrowdForm {
    /// Writes what the form sends; `head` is a request line and fields without the length.
    fn write(self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            CrowdForm::ChunksShort(chunk_len) => {
                stream.write_all(chunked.as_bytes())?;
                let chunk = chunk_of(chunk_len, "");
                for _ in 1..BODY_MAX / chunk_len {
                    stream.write_all(&chunk)?;
                }
                // The last byte and the end of its chunk are missing.
                stream.write_all(&chunk[..chunk.len() - 3])
            }
            CrowdForm::SmallChunks(len, chunk_len) => {
                stream.write_all(chunked.as_bytes())?;
                write_repeated(stream, &chunk_of(chunk_len, ""), len / chunk_len)
            }
            CrowdForm::Extensions => {
                stream.write_all(chunked.as_bytes())?;
                let chunk = chunk_of(1, &format!(";{}", "x".repeat(240)));
                write_repeated(stream, &chunk, BODY_MAX / 128)
            }
            CrowdForm::LengthShort => {
                let head = format!("{head}Content-Length: {BODY_MAX}\r\n\r\n");
                stream.write_all(head.as_bytes())?;
                write_repeated(stream, b"a", BODY_MAX - 1)
            }
            CrowdForm::EndlessChunks => {
                stream.write_all(chunked.as_bytes())?;
                write_repeated(stream, &chunk_of(1_024, ""), 2 * BODY_MAX / 1_024)
            }
            CrowdForm::HugeLength => {
                let head = format!("{head}Content-Length: 99999999999\r\n\r\n");
                stream.write_all(head.as_bytes())?;
                write_repeated(stream, b"a", BODY_MAX)
            }
            CrowdForm::HalfHead => stream.write_all(&head.as_bytes()[..head.len() / 2]),
            CrowdForm::LongHead => {
                let head = format!("{head}X-Long: {}", "a".repeat(15_000));
                stream.write_all(head.as_bytes())
            }
            CrowdForm::Silent => Ok(()),
            CrowdForm::BytesBehind => {
                let head = format!("{head}Content-Length: 4\r\n\r\nbody");
                stream.write_all(head.as_bytes())?;
                let next = format!("POST / HTTP/1.1\r\nContent-Length: {BODY_MAX}\r\n\r\n");
                stream.write_all(next.as_bytes())?;
                write_repeated(stream, b"a", BODY_MAX)
            }
            CrowdForm::Whole => {
                let head = format!("{head}Content-Length: {BODY_MAX}\r\n\r\n");
                stream.write_all(head.as_bytes())?;
                write_repeated(stream, b"a", BODY_MAX)
            }
            CrowdForm::Answered => {
                stream.write_all(format!("{head}\r\n").as_bytes())?;
                stream.set_read_timeout(Some(SEND_TIMEOUT))?;
                stream.read(&mut [0; 1_024]).map(drop)
            }
            CrowdForm::Short => {
                stream.write_all(format!("{head}Content-Length: 4\r\n\r\nbody").as_bytes())
            }
            CrowdForm::Items(body, len) => {
                let body = body.text(len);
                let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
                stream.write_all(head.as_bytes())?;
                stream.write_all(body.as_bytes())?;
                stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
                stream.read(&mut [0; 1_024]).map(drop)
            }
            CrowdForm::FramePart => {
                let len = u32::try_from(HANDSHAKE_FRAME_MAX).unwrap_or(u32::MAX);
                stream.write_all(&len.to_be_bytes())?;
                write_repeated(stream, b"\n", HANDSHAKE_FRAME_MAX - 1)
            }
        }
    }
}

/// Returns one chunk.
pub fn chunk_of(len: usize, extension: &str) -> Vec<u8> {
    let mut chunk = format!("{len:x}{extension}\r\n").into_bytes();
    chunk.resize(chunk.len() + len, b'a');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Writes `text` so many times.
pub fn write_repeated(stream: &mut TcpStream, text: &[u8], times: usize) -> std::io::Result<()> {
    let at_once = (WRITE_LEN / text.len()).clamp(1, times.max(1));
    let buf = text.repeat(at_once);
    for _ in 0..times / at_once {
        stream.write_all(&buf)?;
    }
    stream.write_all(&buf[..text.len() * (times % at_once)])
}

/// Callers whose connections stay open until the crowd is dropped.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `count` callers send at the same time, each the next one of `forms`; returns
    /// once each has sent all or is not read any further. `head` is a request line and
    /// fields.
    pub fn send(address: SocketAddr, count: usize, forms: &[CrowdForm], head: &str) -> Self {
        let senders: Vec<JoinHandle<Option<TcpStream>>> = (0..count)
            .map(|number| {
                let form = forms[number % forms.len()];
                let head = head.to_owned();
                thread::spawn(move || {
                    let mut stream = TcpStream::connect_timeout(&address, SEND_TIMEOUT).ok()?;
                    stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
                    // A caller that is refused or not read has sent enough.
                    let _ = form.write(&mut stream, &head);
                    Some(stream)
                })
            })
            .collect();
        let streams = senders.into_iter().filter_map(|it| it.join().unwrap());
        Crowd {
            streams: streams.collect(),
        }
    }

    /// Returns the number of callers that could connect.
    pub fn connected(&self) -> usize {
        self.streams.len()
    }
}

/// Largest use of a process, sampled by a thread.
pub struct UsageSampler {
    id: u32,
    is_done: Arc<AtomicBool>,
    /// Largest number of bytes that had arrived on connections, accepted or not, and were
    /// not read.
    unread_max: Arc<AtomicU64>,
    /// Largest number of open descriptors.
    descriptors_max: Arc<AtomicU64>,
    sampler: Option<JoinHandle<()>>,
}

impl UsageSampler {
    /// Starts to sample the process with this id.
    pub fn spawn(id: u32) -> Self {
        let is_done = Arc::<AtomicBool>::default();
        let unread_max = Arc::<AtomicU64>::default();
        let descriptors_max = Arc::<AtomicU64>::default();
        let shared = (is_done.clone(), unread_max.clone(), descriptors_max.clone());
        let sampler = thread::spawn(move || {
            let (is_done, unread_max, descriptors_max) = shared;
            while !is_done.load(Ordering::Relaxed) {
                let descriptors = open_descriptors(id);
                unread_max.fetch_max(unread_bytes(&descriptors), Ordering::Relaxed);
                descriptors_max.fetch_max(descriptors.len() as u64, Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        UsageSampler {
            id,
            is_done,
            unread_max,
            descriptors_max,
            sampler: Some(sampler),
        }
    }

    /// Fails if the process has ended, or has ever used as much as a bound.
    pub fn check(&self, memory_max_kib: u64, descriptors_max: u64) {
        let usage = read_usage(self.id).expect("the process lives");
        let unread_kib = self.unread_max.load(Ordering::Relaxed) / 1_024;
        let used_kib = usage.resident_peak_kib + unread_kib;
        println!("{used_kib} of {memory_max_kib} KiB, {unread_kib} of them not read");
        assert!(
            used_kib < memory_max_kib,
            "{} KiB resident and {unread_kib} KiB not read, of {memory_max_kib} KiB",
            usage.resident_peak_kib
        );
        let descriptors = self.descriptors_max.load(Ordering::Relaxed);
        assert!(
            descriptors < descriptors_max,
            "{descriptors} descriptors, of {descriptors_max}"
        );
    }
}

impl Drop for UsageSampler {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            // A sampler that panicked has reported it.
            let _ = sampler.join();
        }
    }
}

/// Returns the bytes in the receive queues of a process's sockets, and of connections that
/// it has not accepted yet.
fn unread_bytes(descriptors: &[PathBuf]) -> u64 {
    let names = descriptors.iter().filter_map(|path| path.to_str());
    let sockets = names.filter_map(|name| name.strip_prefix("socket:[")?.strip_suffix(']'));
    let sockets: BTreeSet<&str> = sockets.collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows: Vec<SocketRow<'_>> = table.lines().skip(1).filter_map(SocketRow::parse).collect();
    let is_own = |row: &&SocketRow<'_>| sockets.contains(row.socket);
    let listeners = rows.iter().filter(is_own).filter(|row| row.state == LISTEN);
    let listeners: BTreeSet<&str> = listeners.map(|row| row.local).collect();
    let open = rows.iter().filter(|row| row.state == ESTABLISHED);
    let counted = open.filter(|row| is_own(row) || listeners.contains(row.local));
    counted.map(|row| row.unread).sum()
}

/// One row of the system's table of connections.
struct SocketRow<'a> {
    local: &'a str,
    state: &'a str,
    unread: u64,
    /// 0 while the connection is not accepted.
    socket: &'a str,
}

impl<'a> SocketRow<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let mut fields = text.split_whitespace();
        let local = fields.nth(1)?;
        let state = fields.nth(1)?;
        let (_, unread) = fields.next()?.split_once(':')?;
        Some(SocketRow {
            local,
            state,
            unread: u64::from_str_radix(unread, 16).ok()?,
            socket: fields.nth(4)?,
        })
    }
}

/// Returns what a process's open descriptors refer to.
fn open_descriptors(id: u32) -> Vec<PathBuf> {
    let entries = fs::read_dir(format!("/proc/{id}/fd"));
    let entries = entries.into_iter().flatten().flatten();
    entries
        .map(|entry| fs::read_link(entry.path()).unwrap_or_default())
        .collect()
}

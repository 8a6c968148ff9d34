//! Bodies of requests while threads read them, in segments of one length.
//!
//! The segments of all bodies come from one pool, which never has more of them than its
//! limit and keeps those that are free. Buffers that grow with each body would leave free
//! memory behind in the allocator's arenas, of which each thread may have one.

use std::io::Read;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::http_refusal::{HttpRefusal, BAD_BODY, BODY_TOO_LARGE, OVERLOADED};

/// Length of a segment in bytes.
pub const SEGMENT_LEN: usize = 64 * 1024;

#[derive(Debug, Default)]
struct PoolState {
    free: Vec<Box<[u8]>>,
    /// Segments that exist, free or in use; at most the pool's limit.
    count: usize,
}

/// The segments of all bodies that are being read.
#[derive(Debug)]
pub struct SegmentPool {
    state: Mutex<PoolState>,
    limit: usize,
}

impl SegmentPool {
    /// Opens a pool of at most `memory` bytes.
    pub fn open(memory: usize) -> Arc<Self> {
        Arc::new(SegmentPool {
            state: Mutex::default(),
            limit: memory / SEGMENT_LEN,
        })
    }

    fn take(&self) -> Option<Box<[u8]>> {
        let mut state = self.lock();
        if let Some(segment) = state.free.pop() {
            return Some(segment);
        }
        if state.count >= self.limit {
            return None;
        }
        state.count += 1;
        drop(state);
        Some(vec![0; SEGMENT_LEN].into_boxed_slice())
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct SegmentedBody {
    pool: Arc<SegmentPool>,
    /// All full but the last one.
    segments: Vec<Box<[u8]>>,
    len: usize,
}

impl SegmentedBody {
    /// Creates an empty body.
    pub fn new(pool: Arc<SegmentPool>) -> Self {
        SegmentedBody {
            pool,
            segments: Vec::new(),
            len: 0,
        }
    }

    /// Reads a body of at most `max` bytes to its end.
    ///
    /// # Errors
    /// Fails with the refusal of a body that is too long or can't be read, or for which no
    /// segment is free.
    pub fn read_all<R>(&mut self, reader: &mut R, max: usize) -> Result<(), HttpRefusal>
    where
        R: Read + ?Sized,
    {
        loop {
            let start = self.len % SEGMENT_LEN;
            if start == 0 && self.len == self.segments.len() * SEGMENT_LEN {
                self.segments.push(self.pool.take().ok_or(OVERLOADED)?);
            }
            let Some(segment) = self.segments.last_mut() else {
                return Err(OVERLOADED);
            };
            match reader.read(&mut segment[start..]) {
                Ok(0) => return Ok(()),
                Ok(len) => self.len += len,
                Err(err) if err.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return Err(BAD_BODY),
            }
            if self.len > max {
                return Err(BODY_TOO_LARGE);
            }
        }
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the body in one piece.
    fn to_bytes(&self) -> Bytes {
        let mut body = Vec::with_capacity(self.len);
        for segment in &self.segments {
            let rest = self.len - body.len();
            body.extend_from_slice(&segment[..rest.min(SEGMENT_LEN)]);
        }
        Bytes::from(body)
    }
}

/// A body that was read to its end.
#[derive(Debug)]
pub enum ReadBody {
    /// In one piece.
    Whole(Bytes),
    /// In segments.
    Segmented(SegmentedBody),
}

impl ReadBody {
    /// Returns the body in one piece.
    pub fn into_bytes(self) -> Bytes {
        match self {
            ReadBody::Whole(body) => body,
            ReadBody::Segmented(body) => body.to_bytes(),
        }
    }
}

impl Drop for SegmentedBody {
    fn drop(&mut self) {
        let pool = self.pool.clone();
        pool.lock().free.append(&mut self.segments);
    }
}

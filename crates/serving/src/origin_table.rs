//! The service and software version that began each stream.
//!
//! Guarantees: an origin is returned only if all that was recorded of its stream agrees;
//! the table holds at most [`ORIGINS_MAX`] streams, those that expire last.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

/// Hash of the id of the request that brought a stream's first event; 0 is none.
pub type StreamKey = u64;

/// Maximum number of streams: some minutes of the largest deployment's streams at a
/// few hundred a second.
pub const ORIGINS_MAX: usize = 65_536;

/// Maximum number of names that are shared between origins.
const NAMES_MAX: usize = 1_024;

/// A service, and one version of its endpoints' software.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: Bytes,
    /// The version; empty if the endpoints state none.
    pub software: Bytes,
}

/// Origins of streams with times of expiry on the clock `T`.
#[derive(Debug, Clone, PartialEq)]
pub struct OriginTable<T> {
    /// Origin and expiry of each stream; no origin if two were recorded.
    origins: BTreeMap<StreamKey, (Option<ServiceVersion>, T)>,
    /// Contains each stream of `origins` once.
    expiry: BTreeSet<(T, StreamKey)>,
    /// Names in `origins`, so that none keeps the message alive that it came in.
    names: BTreeSet<Bytes>,
}

impl<T> Default for OriginTable<T> {
    fn default() -> Self {
        OriginTable {
            origins: BTreeMap::new(),
            expiry: BTreeSet::new(),
            names: BTreeSet::new(),
        }
    }
}

impl<T: Copy + Ord> OriginTable<T> {
    /// Records the origin of a stream; returns whether the stream is new.
    pub fn insert(&mut self, stream: StreamKey, origin: &ServiceVersion, expires: T) -> bool {
        if let Some((known, known_expires)) = self.origins.get_mut(&stream) {
            if known.as_ref() != Some(origin) {
                *known = None;
            }
            if *known_expires < expires {
                self.expiry.remove(&(*known_expires, stream));
                self.expiry.insert((expires, stream));
                *known_expires = expires;
            }
            return false;
        }
        let origin = ServiceVersion {
            service: self.intern(&origin.service),
            software: self.intern(&origin.software),
        };
        self.origins.insert(stream, (Some(origin), expires));
        self.expiry.insert((expires, stream));
        if self.origins.len() > ORIGINS_MAX {
            self.remove_first();
        }
        true
    }

    /// Returns the origin of a stream; none if it is unknown or was recorded twice.
    pub fn get(&self, stream: StreamKey) -> Option<&ServiceVersion> {
        self.origins.get(&stream)?.0.as_ref()
    }

    /// Returns whether anything was recorded of a stream.
    pub fn contains(&self, stream: StreamKey) -> bool {
        self.origins.contains_key(&stream)
    }

    /// Returns the origin of a stream with its expiry.
    pub fn entry(&self, stream: StreamKey) -> Option<(&ServiceVersion, T)> {
        let (origin, expires) = self.origins.get(&stream)?;
        Some((origin.as_ref()?, *expires))
    }

    /// Returns all streams with their origins and expiries; no origin if two were
    /// recorded.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, Option<&ServiceVersion>, T)> {
        let origins = self.origins.iter();
        origins.map(|(stream, (origin, expires))| (*stream, origin.as_ref(), *expires))
    }

    /// Inserts a stream as [`OriginTable::iter`] returned it.
    pub fn restore(&mut self, stream: StreamKey, origin: Option<ServiceVersion>, expires: T) {
        self.origins.insert(stream, (origin, expires));
        self.expiry.insert((expires, stream));
    }

    /// Removes the origins that have expired.
    pub fn remove_expired(&mut self, now: T) {
        while self.expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.expiry.pop_first() {
            self.origins.remove(&stream);
        }
    }

    fn intern(&mut self, name: &Bytes) -> Bytes {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        if self.names.len() >= NAMES_MAX {
            self.names.clear();
        }
        let name = Bytes::copy_from_slice(name);
        self.names.insert(name.clone());
        name
    }
}

//! Which requests of the front proxy may still start, by the local port of their connection
//! to the HTTP server library.
//!
//! The library doesn't tell a chunked body that is cut off from a complete one, so that the
//! proxy and the thread of a request settle under one lock whether the request starts or
//! is abandoned: a request that is refused, or whose caller has hung up, is never passed to
//! a role.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PortState {
    /// The next request may start.
    Open,
    /// A request has started.
    Started,
}

/// The open ports of one proxy.
#[derive(Debug, Clone, Default)]
pub struct OpenPorts {
    states: Arc<Mutex<BTreeMap<u16, PortState>>>,
}

impl OpenPorts {
    /// Opens a port until the handle is dropped.
    pub fn open(&self, port: u16) -> OpenPort {
        self.lock().insert(port, PortState::Open);
        OpenPort {
            port,
            ports: self.clone(),
        }
    }

    /// Starts the request that was read at a port; false when it is abandoned.
    pub fn start_request(&self, port: u16) -> bool {
        match self.lock().get_mut(&port) {
            Some(state) => {
                *state = PortState::Started;
                true
            }
            None => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u16, PortState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open port; must be dropped before its socket closes.
#[derive(Debug)]
pub struct OpenPort {
    port: u16,
    ports: OpenPorts,
}

impl OpenPort {
    /// Lets the next request start, once the one before has ended.
    pub fn finish_request(&self) {
        if let Some(state) = self.ports.lock().get_mut(&self.port) {
            *state = PortState::Open;
        }
    }

    /// Abandons the request that is being read; false when it has started.
    pub fn abandon_request(&self) -> bool {
        let mut states = self.ports.lock();
        if states.get(&self.port) == Some(&PortState::Started) {
            return false;
        }
        states.remove(&self.port);
        true
    }
}

impl Drop for OpenPort {
    fn drop(&mut self) {
        self.ports.lock().remove(&self.port);
    }
}

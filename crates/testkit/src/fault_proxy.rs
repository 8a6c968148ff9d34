//! A TCP proxy that injects faults between two processes.
//!
//! Purpose: tests place it in front of a listener and change the faults of open
//! connections at run time: delay, silent stall, reset, throttling, split writes
//! and refusal of new connections.
//!
//! Guarantees: bytes keep their order and none is added; without a fault none is
//! lost; jitter is determined by the seed and the connection's number.
//!
//! Algorithm: each connection has one thread for each of its two flows, which
//! reads a block, delays it according to the flow's fault, and writes it. A
//! stalled flow neither reads nor writes, so the sender sees an open connection
//! without progress, as in a network partition.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;

/// Size of the read buffer in bytes.
const READ_LEN: usize = 16 * 1024;

/// Timeout of a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time until a blocked write detects that its connection was aborted.
const WRITE_POLL: Duration = Duration::from_millis(100);

/// Direction of data through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFlow {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    ToCaller,
}

/// Fault of a flow; the default is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowFault {
    /// Delay before each block.
    pub delay: Duration,
    /// Maximum random addition to `delay`.
    pub jitter: Duration,
    /// Rate limit in bytes per second; unlimited if 0.
    pub bytes_per_second: u64,
    /// Maximum size of a write in bytes; unlimited if 0.
    pub max_write_len: usize,
    /// Whether the flow is stalled, without any indication to either side.
    pub stalled: bool,
}

#[derive(Debug, Default)]
struct ProxyState {
    /// Fault of each flow, in the order of [`ProxyFlow`].
    faults: [FlowFault; 2],
    /// Stalls the flow on every connection whose first bytes contain the text.
    stall_rules: Vec<(String, ProxyFlow)>,
    /// Whether new connections are reset immediately.
    refusing: bool,
    connections: Vec<Weak<ProxyConnection>>,
}

#[derive(Debug)]
struct ProxyShared {
    target: SocketAddr,
    seed: u64,
    state: Mutex<ProxyState>,
    /// Notified when `state` changes or a connection is aborted.
    state_changed: Condvar,
    accepted: AtomicU64,
    forwarded: [AtomicU64; 2],
    is_shut_down: AtomicBool,
}

/// Both sockets of a proxied connection.
#[derive(Debug)]
struct ProxyConnection {
    caller: TcpStream,
    target: TcpStream,
    /// First bytes that the connecting side sent.
    first_bytes: OnceLock<Vec<u8>>,
    /// Set once the connection is aborted.
    is_aborted: AtomicBool,
}

/// A running proxy, which resets its connections when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<ProxyShared>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target` on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn spawn(target: SocketAddr) -> Result<Self> {
        Self::spawn_seeded(target, 0)
    }

    /// Starts a proxy whose jitter is determined by `seed`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn spawn_seeded(target: SocketAddr, seed: u64) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(ProxyShared {
            target,
            seed,
            state: Mutex::default(),
            state_changed: Condvar::new(),
            accepted: AtomicU64::new(0),
            forwarded: [AtomicU64::new(0), AtomicU64::new(0)],
            is_shut_down: AtomicBool::new(false),
        });
        let worker = shared.clone();
        thread::Builder::new()
            .name("fault proxy".to_owned())
            .spawn(move || accept_connections(&listener, &worker))?;
        Ok(FaultProxy { address, shared })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of one flow, also on open connections.
    pub fn set_flow(&self, flow: ProxyFlow, fault: FlowFault) {
        self.shared.lock().faults[flow as usize] = fault;
        self.shared.state_changed.notify_all();
    }

    /// Sets the fault of both flows, also on open connections.
    pub fn set_both(&self, fault: FlowFault) {
        self.set_flow(ProxyFlow::ToTarget, fault);
        self.set_flow(ProxyFlow::ToCaller, fault);
    }

    /// Stalls both flows silently, as in a network partition.
    pub fn stall(&self) {
        self.set_both(FlowFault {
            stalled: true,
            ..FlowFault::default()
        });
    }

    /// Stalls one flow of the connections whose first bytes contain a text, such as
    /// the name of the connecting process.
    pub fn stall_matching(&self, name: &str, flow: ProxyFlow) {
        self.shared.lock().stall_rules.push((name.to_owned(), flow));
        self.shared.state_changed.notify_all();
    }

    /// Resumes the connections that [`Self::stall_matching`] stalled for a text.
    pub fn resume_matching(&self, name: &str) {
        self.shared
            .lock()
            .stall_rules
            .retain(|(known, _)| known != name);
        self.shared.state_changed.notify_all();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        let connections = std::mem::take(&mut self.shared.lock().connections);
        for connection in connections.iter().filter_map(Weak::upgrade) {
            connection.abort();
        }
        self.shared.state_changed.notify_all();
    }

    /// Sets whether new connections are reset immediately.
    pub fn refuse(&self, refusing: bool) {
        self.shared.lock().refusing = refusing;
    }

    /// Clears all faults and resumes stalled flows.
    pub fn heal(&self) {
        self.refuse(false);
        self.shared.lock().stall_rules.clear();
        self.set_both(FlowFault::default());
    }

    /// Returns the number of accepted connections, including refused ones.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that one flow has forwarded.
    pub fn forwarded(&self, flow: ProxyFlow) -> u64 {
        self.shared.forwarded[flow as usize].load(Ordering::Relaxed)
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.is_shut_down.store(true, Ordering::Relaxed);
        self.reset();
        // Wakes the accepting thread, which then exits.
        let _ = TcpStream::connect_timeout(&self.address, WRITE_POLL);
    }
}

impl ProxyShared {
    fn lock(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while a flow is stalled; returns the flow's fault, or `None` if the
    /// connection was aborted.
    fn wait_while_stalled(
        &self,
        flow: ProxyFlow,
        connection: &ProxyConnection,
    ) -> Option<FlowFault> {
        let mut state = self.lock();
        loop {
            if connection.is_aborted.load(Ordering::Relaxed) {
                return None;
            }
            let fault = state.faults[flow as usize];
            let is_matched = |(name, stalled_flow): &(String, ProxyFlow)| {
                *stalled_flow == flow && connection.first_bytes_contain(name)
            };
            if !fault.stalled && !state.stall_rules.iter().any(is_matched) {
                return Some(fault);
            }
            state = self
                .state_changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl ProxyConnection {
    fn first_bytes_contain(&self, name: &str) -> bool {
        let first_bytes = self.first_bytes.get().map_or(&[][..], Vec::as_slice);
        first_bytes
            .windows(name.len().max(1))
            .any(|part| part == name.as_bytes())
    }

    /// Makes both flows end. The sockets are reset when the last flow drops them.
    fn abort(&self) {
        self.is_aborted.store(true, Ordering::Relaxed);
        for socket in [&self.caller, &self.target] {
            reset_on_close(socket);
            // Shutting down the read half wakes the flow without sending anything.
            let _ = socket.shutdown(Shutdown::Read);
        }
    }

    fn sockets(&self, flow: ProxyFlow) -> (&TcpStream, &TcpStream) {
        match flow {
            ProxyFlow::ToTarget => (&self.caller, &self.target),
            ProxyFlow::ToCaller => (&self.target, &self.caller),
        }
    }
}

fn reset_on_close(socket: &TcpStream) {
    // A socket that has already failed needs no reset.
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

fn accept_connections(listener: &TcpListener, shared: &Arc<ProxyShared>) {
    for caller in listener.incoming() {
        if shared.is_shut_down.load(Ordering::Relaxed) {
            return;
        }
        let Ok(caller) = caller else { continue };
        let number = shared.accepted.fetch_add(1, Ordering::Relaxed);
        if shared.lock().refusing {
            reset_on_close(&caller);
            continue;
        }
        let shared = shared.clone();
        thread::spawn(move || open_connection(caller, number, &shared));
    }
}

fn open_connection(caller: TcpStream, number: u64, shared: &Arc<ProxyShared>) {
    let Ok(target) = TcpStream::connect_timeout(&shared.target, CONNECT_TIMEOUT) else {
        return reset_on_close(&caller);
    };
    for socket in [&caller, &target] {
        // If these options can't be set, the connection is slower but still correct.
        let _ = socket.set_nodelay(true);
        let _ = socket.set_write_timeout(Some(WRITE_POLL));
    }
    let connection = Arc::new(ProxyConnection {
        caller,
        target,
        first_bytes: OnceLock::new(),
        is_aborted: AtomicBool::new(false),
    });
    {
        let mut state = shared.lock();
        state.connections.retain(|known| known.strong_count() > 0);
        state.connections.push(Arc::downgrade(&connection));
    }
    let (other, other_shared) = (connection.clone(), shared.clone());
    thread::spawn(move || forward_flow(&other, ProxyFlow::ToCaller, number, &other_shared));
    forward_flow(&connection, ProxyFlow::ToTarget, number, shared);
}

/// Forwards one flow of a connection until it ends.
fn forward_flow(connection: &ProxyConnection, flow: ProxyFlow, number: u64, shared: &ProxyShared) {
    let (mut from, to) = connection.sockets(flow);
    let mut rng = Pcg64Mcg::seed_from_u64(shared.seed ^ (number << 1) ^ flow as u64);
    let mut buf = vec![0; READ_LEN];
    while shared.wait_while_stalled(flow, connection).is_some() {
        let len = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => len,
            Err(_) => {
                connection.abort();
                break;
            }
        };
        if flow == ProxyFlow::ToTarget {
            connection.first_bytes.get_or_init(|| buf[..len].to_vec());
        }
        // The fault may have been set while the read was blocked.
        let Some(fault) = shared.wait_while_stalled(flow, connection) else {
            break;
        };
        thread::sleep(fault.delay + fault.jitter.mul_f64(rng.random()));
        if shared.wait_while_stalled(flow, connection).is_none()
            || !write_chunks(connection, to, &buf[..len], fault)
        {
            connection.abort();
            break;
        }
        shared.forwarded[flow as usize].fetch_add(len as u64, Ordering::Relaxed);
    }
    if !connection.is_aborted.load(Ordering::Relaxed) {
        // The peer may already have closed its side.
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Writes a block according to the fault; returns false if the connection failed
/// or was aborted.
fn write_chunks(
    connection: &ProxyConnection,
    to: &TcpStream,
    data: &[u8],
    fault: FlowFault,
) -> bool {
    let max_write_len = if fault.max_write_len == 0 {
        data.len()
    } else {
        fault.max_write_len
    };
    for chunk in data.chunks(max_write_len) {
        let started = Instant::now();
        if !write_all(connection, to, chunk) {
            return false;
        }
        if fault.bytes_per_second > 0 {
            let due = Duration::from_secs(chunk.len() as u64)
                / u32::try_from(fault.bytes_per_second).unwrap_or(u32::MAX);
            thread::sleep(due.saturating_sub(started.elapsed()));
        } else if fault.max_write_len > 0 {
            thread::yield_now();
        }
    }
    true
}

/// Writes all bytes, and checks for an abort while the peer does not read.
fn write_all(connection: &ProxyConnection, mut to: &TcpStream, mut data: &[u8]) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};

    while !data.is_empty() {
        if connection.is_aborted.load(Ordering::Relaxed) {
            return false;
        }
        match to.write(data) {
            Ok(len) => data = &data[len..],
            Err(err) if matches!(err.kind(), WouldBlock | TimedOut | Interrupted) => {}
            Err(_) => return false,
        }
    }
    true
}

//! Unique listen addresses for processes that a test starts.
//!
//! Each test process uses a loopback address derived from its process id and
//! assigns ports on it in sequence. Two tests therefore never get the same
//! address, and no outgoing connection can occupy a port between its selection
//! and its use.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::{bail, Result};
use socket2::{Domain, Socket, Type};

/// First port that is assigned.
const PORT_MIN: u16 = 10_000;

/// Number of ports that are tried before the search fails.
const ATTEMPTS_MAX: usize = 1_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(PORT_MIN);

/// Returns an unused address that no other call returns.
///
/// # Errors
/// Fails if no port is free.
pub fn free_port() -> Result<SocketAddr> {
    let ip = process_ip(std::process::id());
    for _ in 0..ATTEMPTS_MAX {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((ip, port));
        if is_free(address)? {
            return Ok(address);
        }
    }
    bail!("no free port on {ip} after {ATTEMPTS_MAX} attempts")
}

/// Returns whether nothing listens on an address.
///
/// The socket of the check is bound but must not listen: a process that is
/// spawned at the same time briefly holds a copy of it, and two listening sockets
/// on one address exclude each other.
fn is_free(address: SocketAddr) -> Result<bool> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    Ok(socket.bind(&address.into()).is_ok())
}

/// Maps a process id of at most 22 bits to a loopback address. The lowest octet
/// is never 0, and the second octet always differs from that of `127.0.0.1`.
fn process_ip(id: u32) -> Ipv4Addr {
    let octet = |shift: u32, mask: u32| u8::try_from(id >> shift & mask).unwrap_or_default();
    Ipv4Addr::new(
        127,
        64 | octet(14, 0x3f),
        octet(7, 0x7f),
        1 + octet(0, 0x7f),
    )
}

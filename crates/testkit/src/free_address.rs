//! Addresses for processes that a test starts.
//!
//! Each test process has a loopback address of its own, made of its process
//! id, and numbers the ports on it. So two tests never get the same address,
//! and no outgoing connection takes a port between its choice and its use.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::{bail, Result};
use socket2::{Domain, Socket, Type};

/// First port that is given out.
const PORT_MIN: u16 = 10_000;

/// Ports that are tried before the search is given up.
const ATTEMPTS_MAX: usize = 1_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(PORT_MIN);

/// Returns an address that no other call gets.
///
/// # Errors
/// Fails when no port is free.
pub fn free_port() -> Result<SocketAddr> {
    let ip = process_ip(std::process::id());
    for _ in 0..ATTEMPTS_MAX {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((ip, port));
        if is_free(address)? {
            return Ok(address);
        }
    }
    bail!("no free port on {ip}")
}

/// Tells whether nothing listens on an address.
///
/// The socket of the check must not listen itself: a process that is started
/// at the same time holds a copy of it for a moment, and two listening sockets
/// exclude each other.
fn is_free(address: SocketAddr) -> Result<bool> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    Ok(socket.bind(&address.into()).is_ok())
}

/// Maps a process id of at most 22 bits to a loopback address; the lowest
/// octet is never 0 and the second never that of `127.0.0.1`.
fn process_ip(id: u32) -> Ipv4Addr {
    let octet = |shift: u32, mask: u32| u8::try_from(id >> shift & mask).unwrap_or_default();
    Ipv4Addr::new(
        127,
        64 | octet(14, 0x3f),
        octet(7, 0x7f),
        1 + octet(0, 0x7f),
    )
}

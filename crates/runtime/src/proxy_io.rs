//! Reads and writes of the front proxy's sockets.

use std::io::{ErrorKind, Read, Write};

use mio::net::TcpStream;

use crate::proxy_connection::SocketReady;

/// Result of one read.
pub enum ReadOutcome {
    /// So many bytes were read.
    Data(usize),
    /// Nothing is available now.
    Blocked,
    /// The peer has closed its sending side.
    End,
    /// The connection has failed.
    Failed,
}

/// Result of one write.
#[derive(Clone, Copy)]
pub enum WriteOutcome {
    /// So many bytes were written.
    Written(usize),
    /// Nothing can be written now.
    Blocked,
    /// The connection has failed.
    Failed,
}

/// Reads what is available.
pub fn read_some(socket: &mut TcpStream, ready: &mut SocketReady, buf: &mut [u8]) -> ReadOutcome {
    loop {
        match socket.read(buf) {
            Ok(0) => return ReadOutcome::End,
            Ok(len) => return ReadOutcome::Data(len),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                ready.read = false;
                return ReadOutcome::Blocked;
            }
            Err(_) => return ReadOutcome::Failed,
        }
    }
}

/// Writes up to `limit` bytes of `data` and removes the written ones.
pub fn write_some(
    socket: &mut TcpStream,
    ready: &mut SocketReady,
    data: &mut Vec<u8>,
    limit: usize,
) -> WriteOutcome {
    if limit == 0 {
        return WriteOutcome::Blocked;
    }
    match socket.write(&data[..limit]) {
        Ok(len) => {
            data.drain(..len);
            WriteOutcome::Written(len)
        }
        Err(err) if err.kind() == ErrorKind::Interrupted => WriteOutcome::Written(0),
        Err(err) if err.kind() == ErrorKind::WouldBlock => {
            ready.write = false;
            WriteOutcome::Blocked
        }
        Err(_) => WriteOutcome::Failed,
    }
}

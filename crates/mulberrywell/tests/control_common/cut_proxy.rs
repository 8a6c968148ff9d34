//! A TCP forwarder whose connections can be cut silently.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time after which a blocked read looks for a cut.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Forwards connections until it is cut; then they stay open and silent.
pub struct CutProxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl CutProxy {
    pub fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let flag = cut.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if let Ok(far) = TcpStream::connect(target) {
                    forward(&near, &far, &flag);
                    forward(&far, &near, &flag);
                }
            }
        });
        CutProxy { address, cut }
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
    }
}

fn forward(from: &TcpStream, to: &TcpStream, cut: &Arc<AtomicBool>) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let cut = cut.clone();
    from.set_read_timeout(Some(LOOK_INTERVAL)).unwrap();
    thread::spawn(move || {
        let mut buf = [0; 16 * 1024];
        loop {
            if cut.load(Ordering::Relaxed) {
                thread::sleep(LOOK_INTERVAL);
                continue;
            }
            match from.read(&mut buf) {
                Ok(0) => break,
                Ok(len) if to.write_all(&buf[..len]).is_err() => break,
                Ok(_) => {}
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        // The other direction sees the end and stops as well.
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

//! Calls to an endpoint whose thread handles a signal meanwhile.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::thread::JoinHandleExt;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mulberrywell_runtime::endpoint_connector::EndpointConnector;
use nix::sys::pthread::pthread_kill;
use nix::sys::signal::Signal;
use signal_hook::consts::SIGUSR1;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::Agent;

/// Time for which the endpoint runs the request.
const RUN_TIME: Duration = Duration::from_millis(300);

const SIGNALS: usize = 5;

const RESPONSE: &[u8] = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";

/// Guards against a running request that fails because a reload's signal interrupts the read
/// of its response: a read with a timeout is not restarted after a signal.
#[test]
fn call_outlasts_signals() {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGUSR1, flag).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let endpoint = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0]).unwrap();
        thread::sleep(RUN_TIME);
        stream.write_all(RESPONSE).unwrap();
        stream
    });
    let caller = thread::spawn(move || {
        let config = Agent::config_builder()
            .timeout_global(Some(10 * RUN_TIME))
            .build();
        let agent = Agent::with_parts(config, EndpointConnector, DefaultResolver::default());
        let response = agent.post(&url).send("order");
        response.map(|response| response.status().as_u16())
    });
    for _ in 0..SIGNALS {
        thread::sleep(RUN_TIME / 10);
        pthread_kill(caller.as_pthread_t(), Signal::SIGUSR1).unwrap();
    }
    let status = caller.join().unwrap();
    assert_eq!(status.unwrap(), 201);
    drop(endpoint.join().unwrap());
}

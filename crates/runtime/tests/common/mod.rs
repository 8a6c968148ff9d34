//! The poll that the tests of a file share.

use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::sync::mpsc::{channel, Sender};
use std::sync::OnceLock;
use std::thread;
use std::time::Instant;

use stakker::Stakker;
use stakker_mio::mio::{Events, Poll};
use stakker_mio::MioPoll;

type TestBody = Box<dyn FnOnce(&MioPoll) + Send>;

/// Runs a test on the thread of the process's only [`Stakker`].
pub fn run_with_poll(body: impl FnOnce(&MioPoll) + Send + 'static) {
    static BODIES: OnceLock<Sender<TestBody>> = OnceLock::new();
    let bodies = BODIES.get_or_init(|| {
        let (tx, rx) = channel::<TestBody>();
        thread::spawn(move || {
            let mut stakker = Stakker::new(Instant::now());
            let poll = Poll::new().unwrap();
            let poll = MioPoll::new(&mut stakker, poll, Events::with_capacity(16), 0).unwrap();
            for body in rx {
                body(&poll);
            }
        });
        tx
    });
    let (tx, rx) = channel();
    let body = move |poll: &MioPoll| {
        let result = catch_unwind(AssertUnwindSafe(|| body(poll)));
        tx.send(result).unwrap();
    };
    bodies.send(Box::new(body)).unwrap();
    if let Err(panic) = rx.recv().unwrap() {
        resume_unwind(panic);
    }
}

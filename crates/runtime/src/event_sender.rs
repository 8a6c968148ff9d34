//! A bounded channel from threads to a role's actor.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;

use stakker::sync::Waker;
use stakker::{Core, Fwd};

/// Capacity of the event queue.
const QUEUE_LEN: usize = 4_096;

/// Sends events to an actor and wakes it.
pub struct EventSender<E> {
    tx: SyncSender<E>,
    waker: Arc<Waker>,
}

impl<E> Clone for EventSender<E> {
    fn clone(&self) -> Self {
        EventSender {
            tx: self.tx.clone(),
            waker: self.waker.clone(),
        }
    }
}

/// Error that returns the event: the queue was full or the actor has ended.
pub struct NotSent<E>(pub E);

impl<E> EventSender<E> {
    /// Creates a channel whose receiver must be drained when `wake` is called.
    pub fn new(core: &mut Core, wake: Fwd<()>) -> (Self, Receiver<E>) {
        let (tx, rx) = sync_channel(QUEUE_LEN);
        let waker = core.waker(move |_, _| wake.fwd(()));
        let sender = EventSender {
            tx,
            waker: Arc::new(waker),
        };
        (sender, rx)
    }

    /// Sends an event without blocking.
    ///
    /// # Errors
    /// Fails when the queue is full or the actor has ended.
    pub fn try_send(&self, event: E) -> Result<(), NotSent<E>> {
        match self.tx.try_send(event) {
            Ok(()) => {
                self.waker.wake();
                Ok(())
            }
            Err(TrySendError::Full(event) | TrySendError::Disconnected(event)) => {
                Err(NotSent(event))
            }
        }
    }

    /// Sends an event and blocks while the queue is full; false when the actor
    /// has ended.
    pub fn send(&self, event: E) -> bool {
        let sent = self.tx.send(event).is_ok();
        self.waker.wake();
        sent
    }
}

//! Events and actions that only the control role has.

use std::net::SocketAddr;

use mulberrywell_consensus::{LogIndex, PersistBatch, PersistTicket, SnapshotImage};
use mulberrywell_policy::{EngineInventory, OrderAnswer};
use mulberrywell_role::{AnswerPart, HttpEvent, RequestId};

use crate::order_dispatcher::{EngineOrder, EngineQuery};
use crate::serving_calls::{ServingAnswer, ServingCall};

/// Events that only the control role has.
#[derive(Debug)]
pub enum ControlEvent {
    /// An operator's request.
    Http(HttpEvent),
    /// A call about the serving configuration or by an endpoint;
    /// [`ControlAction::Reply`] follows.
    Serving {
        /// A new id.
        request: RequestId,
        /// The call.
        call: ServingCall,
    },
    /// An engine answered an order, or the exchange with it failed.
    OrderAnswered {
        /// The order.
        order: EngineOrder,
        /// The answer.
        answer: OrderAnswer,
    },
    /// An engine told what it holds, or did not.
    InventoryRead {
        /// The question.
        query: EngineQuery,
        /// None when no answer came or it could not be read.
        inventory: Option<EngineInventory>,
    },
    /// Wall clock in milliseconds since the Unix epoch, for the audit trail.
    Clock(u64),
    /// Every batch up to this ticket is synced.
    Persisted {
        /// The last synced ticket.
        ticket: PersistTicket,
    },
    /// The settings name these control instances from now on.
    Seeds(Vec<SocketAddr>),
    /// The disk is full; the batch is tried again.
    DiskFull,
    /// A snapshot is synced.
    SnapshotSaved {
        /// Last place in the log that it covers.
        index: LogIndex,
    },
    /// A snapshot could not be saved.
    SnapshotUnsaved {
        /// Last place in the log that it covers.
        index: LogIndex,
    },
}

/// Actions that only the control role has.
#[derive(Debug)]
pub enum ControlAction {
    /// Sends a part of an answer to an operator.
    Answer(RequestId, AnswerPart),
    /// Answers a [`ControlEvent::Serving`].
    Reply(RequestId, ServingAnswer),
    /// Sends an order; [`ControlEvent::OrderAnswered`] follows.
    Order(EngineOrder),
    /// Gives up waiting for an order's answer.
    AbandonOrder(EngineOrder),
    /// Asks what an engine holds; [`ControlEvent::InventoryRead`] follows.
    AskInventory(EngineQuery),
    /// Writes and syncs a batch; `Persisted` or `DiskFull` follows.
    Persist(PersistBatch),
    /// Saves a snapshot; `SnapshotSaved` or `SnapshotUnsaved` follows.
    SaveSnapshot(SnapshotImage),
}

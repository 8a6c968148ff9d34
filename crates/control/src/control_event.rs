//! Events and actions specific to the control role.

use std::net::SocketAddr;

use mulberrywell_consensus::{LogIndex, PersistBatch, PersistTicket, SnapshotImage};
use mulberrywell_policy::{EngineInventory, OrderAnswer};
use mulberrywell_role::{HttpEvent, RequestId, ResponsePart};

use crate::order_dispatcher::{EngineOrder, EngineQuery};
use crate::serving_calls::{ServingAnswer, ServingCall};

/// Events specific to the control role.
#[derive(Debug)]
pub enum ControlEvent {
    /// An operator's request.
    Http(HttpEvent),
    /// A call that reads or changes the serving configuration, or that an
    /// endpoint makes about itself; [`ControlAction::Reply`] follows.
    Serving {
        /// A request id that is not in use.
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
    /// An engine reported its inventory, or the query failed.
    InventoryRead {
        /// The query.
        query: EngineQuery,
        /// `None` if no answer arrived or the answer could not be decoded.
        inventory: Option<EngineInventory>,
    },
    /// Wall clock in milliseconds since the Unix epoch, for the timestamps of
    /// commands and the expiry of claims.
    Clock(u64),
    /// Every batch up to this ticket is synced.
    Persisted {
        /// The last synced ticket.
        ticket: PersistTicket,
    },
    /// The settings now list these control instances as seeds.
    Seeds(Vec<SocketAddr>),
    /// The disk is full; the write of the batch is retried.
    DiskFull,
    /// A snapshot is synced.
    SnapshotSaved {
        /// Last log index that the snapshot covers.
        index: LogIndex,
    },
    /// A snapshot could not be saved.
    SnapshotSaveFailed {
        /// Last log index that the snapshot covers.
        index: LogIndex,
    },
}

/// Actions specific to the control role.
#[derive(Debug)]
pub enum ControlAction {
    /// Sends one part of an answer to an operator.
    Respond(RequestId, ResponsePart),
    /// Answers a [`ControlEvent::Serving`].
    Reply(RequestId, ServingAnswer),
    /// Sends an order to an engine; [`ControlEvent::OrderAnswered`] follows.
    Order(EngineOrder),
    /// Cancels the exchange of an order whose answer timed out.
    AbandonOrder(EngineOrder),
    /// Queries the inventory of an engine; [`ControlEvent::InventoryRead`]
    /// follows.
    QueryInventory(EngineQuery),
    /// Writes and syncs a batch; `Persisted` or `DiskFull` follows.
    Persist(PersistBatch),
    /// Saves a snapshot; `SnapshotSaved` or `SnapshotSaveFailed` follows.
    SaveSnapshot(SnapshotImage),
}

//! Answers to entries' queries for the version that began a stream.
//!
//! A recorded origin is answered at once. The only version of a service is named only
//! after the leader has confirmed it by a read: an instance that is cut off, lags behind
//! or has restarted from a snapshot knows an old log, and so may a majority of them.

use std::time::Instant;

use mulberrywell_role::LinkId;
use mulberrywell_wire::serving::{StreamAnswer, StreamKnowledge, StreamQuery};
use mulberrywell_wire::FrameBody;

use crate::client_frames::{reply, ClientTask};
use crate::control_role::{send, Actions, ControlRole};
use crate::proposal_table::FrameOrigin;

impl ControlRole {
    /// Answers a query, or has the leader confirm the answer first.
    pub(crate) fn handle_stream_query(
        &mut self,
        now: Instant,
        link: LinkId,
        query: StreamQuery,
        actions: &mut Actions,
    ) {
        let answer = self.answer_stream_query(&query);
        if answer.knowledge() != StreamKnowledge::OnlyVersion {
            send(link, FrameBody::StreamAnswer(answer), actions);
            return;
        }
        let task = ClientTask {
            origin: FrameOrigin::Local(link),
            holder: self.clients.holder(link),
            frame: FrameBody::StreamQuery(query),
        };
        self.route_client(now, task, actions);
    }

    /// Answers a query as the leader, after a quorum has confirmed its leadership.
    pub(crate) fn execute_stream_query(
        &self,
        origin: FrameOrigin,
        query: &StreamQuery,
        actions: &mut Actions,
    ) {
        let answer = self.answer_stream_query(query);
        reply(origin, FrameBody::StreamAnswer(answer), actions);
    }

    fn answer_stream_query(&self, query: &StreamQuery) -> StreamAnswer {
        let endpoints = &self.serving.endpoints;
        self.streams.answer(query, endpoints, &self.state)
    }
}

/// Returns the answer that names no version, for a query that no leader confirms.
pub(crate) fn unknown_answer(query: &StreamQuery) -> StreamAnswer {
    StreamAnswer {
        sequence: query.sequence,
        knowledge: StreamKnowledge::None.into(),
        origin: None,
    }
}

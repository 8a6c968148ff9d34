//! The list of control instances for operators.

use serde_json::{json, Value};

use crate::control_role::ControlRole;
use crate::member_status::short_hex;
use crate::operator_api::OperatorAnswer;
use crate::state_summary::text;

impl ControlRole {
    /// Lists the members with their progress. Members that have applied the
    /// same log index have equal digests.
    pub(crate) fn show_members(&mut self) -> OperatorAnswer {
        let own = self.peers.own().id;
        self.status.refresh(own, &self.state);
        let connected = self.peers.connected();
        let members: Vec<Value> = self
            .membership
            .members
            .iter()
            .map(|member| {
                let item = self.state.members.get(&member.id);
                let status = self.status.find(member.id);
                let role = match (member.id == own, member.voter) {
                    (true, _) => "leader",
                    (false, true) => "voter",
                    (false, false) => "learner",
                };
                json!({
                    "id": format!("{:016x}", member.id),
                    "name": item.map(|item| text(&item.name)),
                    "role": role,
                    "address": text(&member.address),
                    "operator_address": item.map(|item| text(&item.operator_address)),
                    "zone": item.map(|item| text(&item.zone)),
                    "connected": member.id == own || connected.contains_key(&member.id),
                    "applied": status.map(|status| status.applied),
                    "digest": status.map(|status| short_hex(&status.digest)),
                })
            })
            .collect();
        let wishes: Vec<Value> = self
            .state
            .wishes
            .iter()
            .map(|(name, wanted)| json!({ "name": text(name), "wanted": wanted }))
            .collect();
        let body = json!({ "term": self.term, "members": members, "wishes": wishes });
        OperatorAnswer { status: 200, body }
    }
}

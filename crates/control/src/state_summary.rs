//! Short descriptions of commands and of the items they affect, for the audit
//! trail.

use bytes::Bytes;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::LogCommand;

use crate::cluster_state::ClusterState;

impl ClusterState {
    /// Describes the current state of the items that a command affects.
    pub(crate) fn summary(&self, command: &LogCommand) -> String {
        match &command.body {
            Some(Body::EditLists(_)) => format!(
                "version {}: {} plans, {} accounts, {} models, {} services",
                self.list_version,
                self.plans.len(),
                self.accounts.len(),
                self.models.len(),
                self.services.len()
            ),
            Some(Body::GiveKey(give)) => {
                let label = give.key.as_ref().map(|key| key.label.clone());
                self.key_summary(&label.unwrap_or_default())
            }
            Some(Body::WithdrawKey(withdraw)) => self.key_summary(&withdraw.label),
            Some(Body::GiveOperator(give)) => self.operator_summary(&give.name),
            Some(Body::WithdrawOperator(withdraw)) => self.operator_summary(&withdraw.name),
            Some(Body::PutEndpoint(put)) => {
                let name = put.endpoint.as_ref().map(|item| item.name.clone());
                self.endpoint_summary(&name.unwrap_or_default())
            }
            Some(Body::SetEndpointState(set)) => self.endpoint_summary(&set.name),
            Some(Body::PutMember(put)) => {
                self.member_summary(put.member.as_ref().map_or(0, |member| member.id))
            }
            Some(Body::DropMember(drop)) => self.member_summary(drop.id),
            Some(Body::WishMember(wish)) => {
                let names = [&wish.add, &wish.remove].into_iter();
                let given = names.filter(|name| !name.is_empty());
                let wishes = given.map(|name| self.wish_summary(name));
                wishes.collect::<Vec<_>>().join(", ")
            }
            Some(Body::SetEvacuation(set)) => self.evacuation_summary(&set.zone),
            _ => String::new(),
        }
    }

    fn key_summary(&self, label: &Bytes) -> String {
        self.key_of_label(label).map_or_else(String::new, |key| {
            format!("key {} of {}", text(label), text(&key.account))
        })
    }

    fn operator_summary(&self, name: &Bytes) -> String {
        if self.operators.contains_key(name) {
            format!("operator {}", text(name))
        } else {
            String::new()
        }
    }

    fn endpoint_summary(&self, name: &Bytes) -> String {
        self.endpoints.get(name).map_or_else(String::new, |record| {
            format!(
                "{} {} incarnation {}",
                text(name),
                record.item.state().as_str_name(),
                record.item.incarnation
            )
        })
    }

    fn member_summary(&self, id: u64) -> String {
        self.members.get(&id).map_or_else(String::new, |member| {
            format!(
                "{} {id:016x} at {}",
                text(&member.name),
                text(&member.address)
            )
        })
    }

    fn evacuation_summary(&self, zone: &Bytes) -> String {
        let state = match self.evacuations.contains(zone) {
            true => "evacuated",
            false => "in service",
        };
        format!("zone {} {state}", text(zone))
    }

    fn wish_summary(&self, name: &Bytes) -> String {
        let wish = match self.wishes.get(name) {
            Some(true) => "wanted",
            Some(false) => "unwanted",
            None => "not named",
        };
        format!("{} {wish}", text(name))
    }
}

/// Returns a name as text.
pub fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}

/// Returns whether a command is recorded in the audit trail; internal commands
/// for tokens, claims and ended endpoints are not.
pub fn is_audited(command: &LogCommand) -> bool {
    !matches!(
        command.body,
        Some(
            Body::GrantBlock(_)
                | Body::PutClaim(_)
                | Body::PutOutcome(_)
                | Body::PutStreams(_)
                | Body::EndEndpoint(_)
        ) | None
    )
}

/// Returns the name of a command's action.
pub fn action_name(command: &LogCommand) -> &'static str {
    match &command.body {
        Some(Body::FoundCluster(_)) => "found cluster",
        Some(Body::EditLists(_)) => "edit lists",
        Some(Body::GiveKey(_)) => "give key",
        Some(Body::WithdrawKey(_)) => "withdraw key",
        Some(Body::GiveOperator(_)) => "give operator",
        Some(Body::WithdrawOperator(_)) => "withdraw operator",
        Some(Body::PutEndpoint(_)) => "put endpoint",
        Some(Body::SetEndpointState(_)) => "set endpoint state",
        Some(Body::GrantBlock(_)) => "grant block",
        Some(Body::PutClaim(_)) => "put claim",
        Some(Body::PutOutcome(_)) => "put outcome",
        Some(Body::PutMember(_)) => "put member",
        Some(Body::DropMember(_)) => "drop member",
        Some(Body::WishMember(_)) => "wish member",
        Some(Body::PutServing(_)) => "put serving",
        Some(Body::PutStreams(_)) => "put streams",
        Some(Body::PutSoftware(_)) => "put software",
        Some(Body::SetEvacuation(set)) if set.evacuated => "start evacuation",
        Some(Body::SetEvacuation(_)) => "end evacuation",
        Some(Body::EndEndpoint(_)) => "end endpoint",
        None => "nothing",
    }
}

//! The outcome of a log command and its encoding in snapshots.

use bytes::Bytes;
use mulberrywell_wire::command::CommandResult;

/// Why an edit was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditConflict {
    /// The edit's base version is outdated; another edit created this version.
    BaseMismatch {
        /// Version in force.
        version: u64,
        /// Operator that created it.
        winner: Bytes,
    },
    /// The request id was used for another command.
    RequestReused,
    /// The named item does not exist.
    NotFound,
    /// An item with this name or key already exists.
    Exists,
    /// A later incarnation is registered.
    OldIncarnation {
        /// The registered incarnation.
        incarnation: u64,
    },
    /// The table for the item is full.
    Full,
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The change is in force from this version on.
    Accepted {
        /// Version of the configuration.
        version: u64,
    },
    /// Nothing changed.
    Refused(EditConflict),
}

const BASE_MISMATCH: u32 = 1;
const REQUEST_REUSED: u32 = 2;
const NOT_FOUND: u32 = 3;
const EXISTS: u32 = 4;
const OLD_INCARNATION: u32 = 5;
const FULL: u32 = 6;

impl CommandOutcome {
    /// Encodes the outcome for a snapshot.
    pub fn to_result(&self) -> CommandResult {
        let refused = |conflict, version, winner| CommandResult {
            accepted: false,
            version,
            conflict,
            winner,
        };
        match self {
            CommandOutcome::Accepted { version } => CommandResult {
                accepted: true,
                version: *version,
                conflict: 0,
                winner: Bytes::new(),
            },
            CommandOutcome::Refused(conflict) => match conflict {
                EditConflict::BaseMismatch { version, winner } => {
                    refused(BASE_MISMATCH, *version, winner.clone())
                }
                EditConflict::RequestReused => refused(REQUEST_REUSED, 0, Bytes::new()),
                EditConflict::NotFound => refused(NOT_FOUND, 0, Bytes::new()),
                EditConflict::Exists => refused(EXISTS, 0, Bytes::new()),
                EditConflict::OldIncarnation { incarnation } => {
                    refused(OLD_INCARNATION, *incarnation, Bytes::new())
                }
                EditConflict::Full => refused(FULL, 0, Bytes::new()),
            },
        }
    }

    /// Decodes the outcome from a snapshot.
    pub fn from_result(result: CommandResult) -> Self {
        if result.accepted {
            return CommandOutcome::Accepted {
                version: result.version,
            };
        }
        CommandOutcome::Refused(match result.conflict {
            BASE_MISMATCH => EditConflict::BaseMismatch {
                version: result.version,
                winner: result.winner,
            },
            REQUEST_REUSED => EditConflict::RequestReused,
            EXISTS => EditConflict::Exists,
            OLD_INCARNATION => EditConflict::OldIncarnation {
                incarnation: result.version,
            },
            FULL => EditConflict::Full,
            _ => EditConflict::NotFound,
        })
    }

    /// Describes the outcome for the audit trail.
    pub fn describe(&self) -> String {
        match self {
            CommandOutcome::Accepted { version } => format!("accepted as version {version}"),
            CommandOutcome::Refused(conflict) => match conflict {
                EditConflict::BaseMismatch { version, winner } => {
                    let winner = String::from_utf8_lossy(winner);
                    format!("refused: version {version} by {winner} came first")
                }
                EditConflict::RequestReused => "refused: request id used before".to_owned(),
                EditConflict::NotFound => "refused: not found".to_owned(),
                EditConflict::Exists => "refused: exists".to_owned(),
                EditConflict::OldIncarnation { incarnation } => {
                    format!("refused: incarnation {incarnation} is registered")
                }
                EditConflict::Full => "refused: no room".to_owned(),
            },
        }
    }
}

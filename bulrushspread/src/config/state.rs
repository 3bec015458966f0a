//! The state after applying the records of the configuration stream in order. Nodes that have
//! applied the same prefix of the stream have the same state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    id::{Environment, Offset, Team},
    journal::record::Position,
};

use super::record::{self, Change, Operation, Promote, Promoted, Publish, StoredPiece};

/// Maximum number of changes that are kept in the history of one environment.
pub const HISTORY_LIMIT: usize = 256;

/// The configuration of all environments at an offset of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// All records before this offset have been applied. Never decreases.
    pub next: Offset,
    pub environments: BTreeMap<Environment, Declaration>,
}

/// The pieces and the history of one environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// Increases by one with each accepted change.
    pub version: u64,
    /// Deleted pieces are kept without content, so that a version is never used twice.
    pub pieces: BTreeMap<Team, StoredPiece>,
    /// The latest changes, oldest first.
    pub history: VecDeque<Change>,
}

/// The decision on a record. Every node makes the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The change is in force. `version` is the new version of the piece, or of the document for a
    /// promotion.
    Accepted { version: u64 },
    /// The base of the record is not the current version, because another record was accepted.
    Conflict(Winner),
    /// The record breaks a rule, such as that no two teams may declare the same name.
    Refused(String),
    /// The record is a checkpoint, which changes nothing on a node that has applied all records
    /// before it.
    Checkpoint,
    /// The record can't be parsed. It keeps its position and changes nothing.
    Unreadable,
}

/// The version that is in force in place of a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Winner {
    pub version: u64,
    pub author: String,
    pub digest: String,
}

impl State {
    /// Applies one record. The caller advances `next` after the whole append.
    pub fn apply(&mut self, position: Position, body: &[u8]) -> Decision {
        let Ok(record) = record::decode(body) else { return Decision::Unreadable };
        match record.operation {
            Operation::Publish(publish) => self.publish(position, publish),
            Operation::Promote(promote) => self.promote(position, promote),
            Operation::Checkpoint(_) => Decision::Checkpoint,
        }
    }

    /// Returns the decision that `operation` would get in this state.
    pub fn evaluate(&self, operation: &Operation) -> Decision {
        match operation {
            Operation::Publish(publish) => self.evaluate_publish(publish),
            Operation::Promote(promote) => self.evaluate_promote(promote),
            Operation::Checkpoint(_) => Decision::Checkpoint,
        }
    }

    /// SHA-256 of all environments in hexadecimal.
    pub fn digest(&self) -> String {
        digest(&serde_json::to_string(&self.environments).unwrap_or_default())
    }

    fn publish(&mut self, position: Position, publish: Publish) -> Decision {
        let decision = self.evaluate_publish(&publish);
        let Decision::Accepted { version } = decision else { return decision };
        let declaration = self.environments.entry(publish.environment).or_default();
        let stored = StoredPiece {
            version,
            author: publish.author.clone(),
            digest: publish.content.as_deref().map(digest).unwrap_or_default(),
            claims: publish.claims,
            content: publish.content,
        };
        declaration.pieces.insert(publish.team.clone(), stored);
        declaration.record_change(Change {
            version: declaration.version + 1,
            offset: position.offset,
            index: position.index,
            author: publish.author,
            at: publish.at,
            pieces: BTreeMap::from([(publish.team, version)]),
            promoted: None,
        });
        decision
    }

    fn evaluate_publish(&self, publish: &Publish) -> Decision {
        let Some(declaration) = self.environments.get(&publish.environment) else {
            return compare_version(None, publish.base);
        };
        let current = declaration.pieces.get(&publish.team);
        let decision = compare_version(current, publish.base);
        if !matches!(decision, Decision::Accepted { .. }) {
            return decision;
        }
        match declaration.find_foreign_claim(&publish.team, &publish.claims) {
            Some((claim, team)) => {
                Decision::Refused(format!("{claim} is already declared by team {team}"))
            }
            None => decision,
        }
    }

    fn promote(&mut self, position: Position, promote: Promote) -> Decision {
        let decision = self.evaluate_promote(&promote);
        let Decision::Accepted { version } = decision else { return decision };
        let source = self.environments.get(&promote.from).cloned().unwrap_or_default();
        let declaration = self.environments.entry(promote.to).or_default();
        let pieces = declaration.replace(&source.pieces, &promote.author);
        declaration.record_change(Change {
            version,
            offset: position.offset,
            index: position.index,
            author: promote.author,
            at: promote.at,
            pieces,
            promoted: Some(Promoted { from: promote.from, version: promote.version }),
        });
        decision
    }

    fn evaluate_promote(&self, promote: &Promote) -> Decision {
        if promote.from == promote.to {
            return Decision::Refused("an environment can't be promoted to itself".to_string());
        }
        let empty = Declaration::default();
        let source = self.environments.get(&promote.from).unwrap_or(&empty);
        if source.version != promote.version {
            return Decision::Conflict(source.winner());
        }
        let target = self.environments.get(&promote.to).unwrap_or(&empty);
        if target.version != promote.base {
            return Decision::Conflict(target.winner());
        }
        Decision::Accepted { version: target.version + 1 }
    }
}

impl Declaration {
    /// Finds one of `claims` that a team other than `team` holds, and that team.
    fn find_foreign_claim(&self, team: &Team, claims: &BTreeSet<String>) -> Option<(&str, &Team)> {
        let others = self.pieces.iter().filter(|(other, _)| *other != team);
        others
            .flat_map(|(other, stored)| stored.claims.iter().map(move |claim| (claim, other)))
            .find(|(claim, _)| claims.contains(*claim))
            .map(|(claim, other)| (claim.as_str(), other))
    }

    /// Replaces all pieces by those of `source`. Returns the versions of the pieces that changed.
    fn replace(
        &mut self,
        source: &BTreeMap<Team, StoredPiece>,
        author: &str,
    ) -> BTreeMap<Team, u64> {
        let teams: BTreeSet<Team> = self.pieces.keys().chain(source.keys()).cloned().collect();
        let mut changed = BTreeMap::new();
        for team in teams {
            let next = source.get(&team).cloned().unwrap_or_default();
            let current = self.pieces.entry(team.clone()).or_default();
            if current.content == next.content {
                continue;
            }
            let version = current.version + 1;
            *current = StoredPiece { version, author: author.to_string(), ..next };
            changed.insert(team, version);
        }
        self.pieces.retain(|_, stored| stored.version > 0);
        changed
    }

    fn record_change(&mut self, change: Change) {
        self.version = change.version;
        self.history.push_back(change);
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    fn winner(&self) -> Winner {
        let author = self.history.back().map(|change| change.author.clone()).unwrap_or_default();
        let digest = digest(&serde_json::to_string(&self.pieces).unwrap_or_default());
        Winner { version: self.version, author, digest }
    }
}

/// Accepts a change if `base` is the current version of the piece.
fn compare_version(current: Option<&StoredPiece>, base: u64) -> Decision {
    let version = current.map_or(0, |stored| stored.version);
    if version == base {
        return Decision::Accepted { version: version + 1 };
    }
    let stored = current.cloned().unwrap_or_default();
    Decision::Conflict(Winner { version, author: stored.author, digest: stored.digest })
}

/// SHA-256 of `text` in hexadecimal.
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

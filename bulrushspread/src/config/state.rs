//! The fold of the configuration stream. Readers of the same prefix hold the same state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    id::{Environment, Offset, Team},
    journal::record::Position,
};

use super::record::{self, Change, Operation, Promote, Promoted, Publish, Stored};

/// Changes that the history of one environment keeps.
pub const HISTORY_LIMIT: usize = 256;

/// All environments, folded up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// All records before this offset are folded. It never goes back.
    pub next: Offset,
    pub environments: BTreeMap<Environment, Declared>,
}

/// What is declared for one environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declared {
    /// Grows by one with each accepted change.
    pub version: u64,
    /// Deleted pieces stay, without content, so that a version is never used twice.
    pub pieces: BTreeMap<Team, Stored>,
    /// The latest changes, oldest first.
    pub history: VecDeque<Change>,
}

/// What became of a record. The same for every reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The versions after the change: of the piece (of the document for a promotion).
    Accepted { version: u64 },
    /// Another record came first.
    Conflict(Winner),
    /// The record breaks a rule that spans the pieces.
    Refused(String),
    /// The record is a checkpoint and changes nothing for a reader that has come this far.
    Checkpoint,
    /// The record can't be parsed. It keeps its place and changes nothing.
    Unreadable,
}

/// What stands where a record wanted to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Winner {
    pub version: u64,
    pub author: String,
    pub digest: String,
}

impl State {
    /// Folds one record. The caller moves `next` once the whole append is folded.
    pub fn fold(&mut self, position: Position, body: &[u8]) -> Verdict {
        let Ok(record) = record::decode(body) else { return Verdict::Unreadable };
        match record.operation {
            Operation::Publish(publish) => self.publish(position, publish),
            Operation::Promote(promote) => self.promote(position, promote),
            Operation::Checkpoint(_) => Verdict::Checkpoint,
        }
    }

    /// The verdict that `operation` would get here and now.
    pub fn judge(&self, operation: &Operation) -> Verdict {
        match operation {
            Operation::Publish(publish) => self.judge_publish(publish),
            Operation::Promote(promote) => self.judge_promote(promote),
            Operation::Checkpoint(_) => Verdict::Checkpoint,
        }
    }

    /// A digest of everything that is declared, in hexadecimal.
    pub fn digest(&self) -> String {
        digest(&serde_json::to_string(&self.environments).unwrap_or_default())
    }

    fn publish(&mut self, position: Position, publish: Publish) -> Verdict {
        let verdict = self.judge_publish(&publish);
        let Verdict::Accepted { version } = verdict else { return verdict };
        let declared = self.environments.entry(publish.environment).or_default();
        let stored = Stored {
            version,
            author: publish.author.clone(),
            digest: publish.content.as_deref().map(digest).unwrap_or_default(),
            claims: publish.claims,
            content: publish.content,
        };
        declared.pieces.insert(publish.team.clone(), stored);
        declared.record(Change {
            version: declared.version + 1,
            offset: position.offset,
            index: position.index,
            author: publish.author,
            at: publish.at,
            pieces: BTreeMap::from([(publish.team, version)]),
            promoted: None,
        });
        verdict
    }

    fn judge_publish(&self, publish: &Publish) -> Verdict {
        let Some(declared) = self.environments.get(&publish.environment) else {
            return judge_base(None, publish.base);
        };
        let current = declared.pieces.get(&publish.team);
        let verdict = judge_base(current, publish.base);
        if !matches!(verdict, Verdict::Accepted { .. }) {
            return verdict;
        }
        match declared.claimed_elsewhere(&publish.team, &publish.claims) {
            Some((claim, team)) => {
                Verdict::Refused(format!("{claim} is already declared by team {team}"))
            }
            None => verdict,
        }
    }

    fn promote(&mut self, position: Position, promote: Promote) -> Verdict {
        let verdict = self.judge_promote(&promote);
        let Verdict::Accepted { version } = verdict else { return verdict };
        let source = self.environments.get(&promote.from).cloned().unwrap_or_default();
        let declared = self.environments.entry(promote.to).or_default();
        let pieces = declared.replace(&source.pieces, &promote.author);
        declared.record(Change {
            version,
            offset: position.offset,
            index: position.index,
            author: promote.author,
            at: promote.at,
            pieces,
            promoted: Some(Promoted { from: promote.from, version: promote.version }),
        });
        verdict
    }

    fn judge_promote(&self, promote: &Promote) -> Verdict {
        if promote.from == promote.to {
            return Verdict::Refused("an environment can't be promoted to itself".to_string());
        }
        let empty = Declared::default();
        let source = self.environments.get(&promote.from).unwrap_or(&empty);
        if source.version != promote.version {
            return Verdict::Conflict(source.winner());
        }
        let target = self.environments.get(&promote.to).unwrap_or(&empty);
        if target.version != promote.base {
            return Verdict::Conflict(target.winner());
        }
        Verdict::Accepted { version: target.version + 1 }
    }
}

impl Declared {
    fn claimed_elsewhere(&self, team: &Team, claims: &BTreeSet<String>) -> Option<(&str, &Team)> {
        let others = self.pieces.iter().filter(|(other, _)| *other != team);
        others
            .flat_map(|(other, stored)| stored.claims.iter().map(move |claim| (claim, other)))
            .find(|(claim, _)| claims.contains(*claim))
            .map(|(claim, other)| (claim.as_str(), other))
    }

    /// Takes over `source` and returns the versions of the pieces that changed.
    fn replace(&mut self, source: &BTreeMap<Team, Stored>, author: &str) -> BTreeMap<Team, u64> {
        let teams: BTreeSet<Team> = self.pieces.keys().chain(source.keys()).cloned().collect();
        let mut changed = BTreeMap::new();
        for team in teams {
            let next = source.get(&team).cloned().unwrap_or_default();
            let current = self.pieces.entry(team.clone()).or_default();
            if current.content == next.content {
                continue;
            }
            let version = current.version + 1;
            *current = Stored { version, author: author.to_string(), ..next };
            changed.insert(team, version);
        }
        self.pieces.retain(|_, stored| stored.version > 0);
        changed
    }

    fn record(&mut self, change: Change) {
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

/// Compare-and-set on the version of a piece.
fn judge_base(current: Option<&Stored>, base: u64) -> Verdict {
    let version = current.map_or(0, |stored| stored.version);
    if version == base {
        return Verdict::Accepted { version: version + 1 };
    }
    let stored = current.cloned().unwrap_or_default();
    Verdict::Conflict(Winner { version, author: stored.author, digest: stored.digest })
}

/// SHA-256 of `text` in hexadecimal.
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

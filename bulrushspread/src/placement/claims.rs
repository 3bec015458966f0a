//! The fold of the placement stream: who may give orders to the engines of a deployment.

use std::collections::BTreeMap;

use crate::id::{Deployment, Epoch, Offset};

use super::record::{Owner, Record, Term};

/// The latest claim of each deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    claims: BTreeMap<Deployment, Claim>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub epoch: Epoch,
    pub owner: Owner,
    /// The offset of the claim. Grows with every claim of the deployment.
    pub fence: Offset,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The record took the deployment over. `first` where nobody held it before.
    Claimed {
        first: bool,
    },
    Renewed,
    /// Another claim came first, or a later one stands already.
    Void,
}

impl Claims {
    pub fn get(&self, deployment: &Deployment) -> Option<&Claim> {
        self.claims.get(deployment)
    }

    /// The epoch that the next claim must name.
    pub fn next_epoch(&self, deployment: &Deployment) -> Epoch {
        Epoch(self.get(deployment).map_or(0, |claim| claim.epoch.0) + 1)
    }

    /// Folds the record at `offset`.
    pub fn fold(&mut self, offset: Offset, record: &Record) -> Verdict {
        match record {
            Record::Claim(term) => self.claim(offset, term),
            Record::Renew(term) => self.renew(term),
        }
    }

    fn claim(&mut self, offset: Offset, term: &Term) -> Verdict {
        if term.epoch != self.next_epoch(&term.deployment) {
            return Verdict::Void;
        }
        let claim = Claim { epoch: term.epoch, owner: term.owner.clone(), fence: offset };
        let before = self.claims.insert(term.deployment.clone(), claim);
        Verdict::Claimed { first: before.is_none() }
    }

    fn renew(&self, term: &Term) -> Verdict {
        let current = self.get(&term.deployment);
        let holds = current.is_some_and(|it| it.epoch == term.epoch && it.owner == term.owner);
        if holds { Verdict::Renewed } else { Verdict::Void }
    }
}

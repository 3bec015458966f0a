//! Replayed state of the placement stream: which node may send orders to a deployment's engines.

use std::collections::BTreeMap;

use crate::id::{Deployment, Epoch, Offset};

use super::record::{Owner, Ownership, Record};

/// The latest claim of each deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    claims: BTreeMap<Deployment, Claim>,
}

/// Ownership of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub epoch: Epoch,
    pub owner: Owner,
    /// Fencing token: the offset of the claim record. Grows with every claim of the deployment.
    pub fence: Offset,
}

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The deployment has a new owner. `first` if it had none before.
    Claimed {
        first: bool,
    },
    Renewed,
    /// The record lost to an earlier claim of the same epoch, or a later epoch is already claimed.
    Ignored,
}

impl Claims {
    pub fn get(&self, deployment: &Deployment) -> Option<&Claim> {
        self.claims.get(deployment)
    }

    /// The epoch that the next claim must carry.
    pub fn next_epoch(&self, deployment: &Deployment) -> Epoch {
        Epoch(self.get(deployment).map_or(0, |claim| claim.epoch.0) + 1)
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Outcome {
        match record {
            Record::Claim(ownership) => self.apply_claim(offset, ownership),
            Record::Renew(ownership) => self.apply_renewal(ownership),
        }
    }

    fn apply_claim(&mut self, offset: Offset, ownership: &Ownership) -> Outcome {
        if ownership.epoch != self.next_epoch(&ownership.deployment) {
            return Outcome::Ignored;
        }
        let claim = Claim { epoch: ownership.epoch, owner: ownership.owner.clone(), fence: offset };
        let previous = self.claims.insert(ownership.deployment.clone(), claim);
        Outcome::Claimed { first: previous.is_none() }
    }

    fn apply_renewal(&self, ownership: &Ownership) -> Outcome {
        let current = self.get(&ownership.deployment);
        let is_current = current
            .is_some_and(|claim| claim.epoch == ownership.epoch && claim.owner == ownership.owner);
        if is_current { Outcome::Renewed } else { Outcome::Ignored }
    }
}

//! Decides whether a request may run for the key that its caller presents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderMap;

use crate::{
    catalog::{self, Catalog},
    time::{Clock, Millis},
};

use super::{
    Directory, Member,
    directory::KeyDigest,
    lease::{Lease, Reading, Settings},
    token::Tokens,
};

/// Delay after which callers may retry while the node can't tell which keys are valid.
pub const RETRY_AFTER: Millis = Millis(1_000);

/// What a request carries as its key.
#[derive(Clone, PartialEq, Eq)]
pub enum Presented {
    Nothing,
    /// Several keys, or something that is no key.
    Malformed,
    Key(String),
}

/// A caller whose key is valid.
#[derive(Clone, Debug)]
pub struct Caller {
    pub member: Arc<Member>,
    pub key: KeyDigest,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No workspace has the key. Final for the caller.
    UnknownKey,
    /// The keys are too old to tell whether this one is valid.
    Stale,
    /// The key was revoked, or given to another workspace, after the request was admitted.
    Revoked,
}

impl Denial {
    pub fn as_str(self) -> &'static str {
        match self {
            Denial::UnknownKey => "unknown key",
            Denial::Stale => "keys too old",
            Denial::Revoked => "key revoked",
        }
    }
}

/// The lease on the keys of the configuration in force, shared between the tasks of a process.
#[derive(Debug, Default)]
pub struct Guard {
    settings: Settings,
    clock: Clock,
    catalog: catalog::Handle,
    lease: Mutex<Lease>,
    tokens: Mutex<Tokens>,
}

impl Guard {
    pub fn new(settings: Settings, clock: Clock, catalog: catalog::Handle) -> Guard {
        Guard { settings, clock, catalog, lease: Mutex::default(), tokens: Mutex::default() }
    }

    /// Applies the keys of a configuration that has just come into force.
    pub fn update_tokens(&self) {
        let Some(catalog) = self.catalog.current() else { return };
        let keys = catalog.workspaces.as_ref().map(Directory::keys);
        self.tokens().update(keys);
    }

    /// Adds to a request to another node what shows that it comes from a node. Adds nothing without
    /// workspaces.
    pub fn sign(&self, headers: &mut HeaderMap) {
        self.tokens().sign(headers);
    }

    /// Whether a request on a port for nodes comes from one. Always true without workspaces.
    pub fn accepts(&self, headers: &HeaderMap) -> bool {
        let is_accepted = self.tokens().accepts(headers);
        if !is_accepted {
            log::warn!("request of another node refused: its token is missing or not known here");
        }
        is_accepted
    }

    /// Records a read of the configuration's topic after its configurations were applied. Returns
    /// whether it confirmed that nothing newer exists.
    pub fn record(&self, reading: Reading) -> bool {
        let in_force = self.catalog.current().map(|catalog| catalog.version);
        self.lease().record(reading, in_force)
    }

    /// Time since the last confirmation; `None` before the first one.
    pub fn age(&self) -> Option<Millis> {
        self.lease().age(self.clock.boot_time())
    }

    /// Whether the keys of `catalog` may be used now. Always true without workspaces and without
    /// strict revocation.
    pub fn is_valid(&self, catalog: &Catalog) -> bool {
        !self.is_strict(catalog) || self.is_younger(self.settings.revoke)
    }

    /// Whether the configuration in force requires the lease to be confirmed often.
    pub fn has_keys(&self) -> bool {
        self.catalog.current().is_some_and(|catalog| catalog.workspaces.is_some())
    }

    /// Decides on a new request. Returns its caller, or `None` if it needs no key and has no valid
    /// one.
    ///
    /// # Errors
    ///
    /// Fails if the request may not run.
    pub fn admit(
        &self,
        catalog: &Catalog,
        is_public: bool,
        presented: &Presented,
    ) -> Result<Option<Caller>, Denial> {
        let Some(directory) = &catalog.workspaces else { return Ok(None) };
        let key = match presented {
            Presented::Key(key) => Some(key),
            Presented::Nothing | Presented::Malformed => None,
        };
        if (key.is_some() || !is_public) && !self.is_valid(catalog) {
            return Err(Denial::Stale);
        }
        match key.and_then(|key| directory.find_caller(key)) {
            Some(caller) => Ok(Some(caller)),
            None if is_public => Ok(None),
            // A refusal is final for the caller, and the key may have been added since.
            None if key.is_some() && !self.is_younger(self.settings.propagation) => {
                Err(Denial::Stale)
            }
            None => Err(Denial::UnknownKey),
        }
    }

    /// Checks an admitted request again, right before it is sent to an upstream or a job call takes
    /// effect: the node may have been suspended, or the key revoked, since it was admitted.
    ///
    /// # Errors
    ///
    /// Fails if the request may no longer run.
    pub fn recheck(&self, key: KeyDigest, member: &Member) -> Result<(), Denial> {
        let Some(catalog) = self.catalog.current() else { return Ok(()) };
        let Some(directory) = &catalog.workspaces else { return Ok(()) };
        if !self.is_strict(&catalog) {
            return Ok(());
        }
        if !self.is_valid(&catalog) {
            return Err(Denial::Stale);
        }
        match directory.find_digest(key) {
            Some(current) if current.workspace == member.workspace => Ok(()),
            Some(_) | None => Err(Denial::Revoked),
        }
    }

    fn is_strict(&self, catalog: &Catalog) -> bool {
        self.settings.is_strict && catalog.workspaces.is_some()
    }

    fn is_younger(&self, limit: Millis) -> bool {
        self.lease().is_younger(self.clock.boot_time(), limit)
    }

    fn tokens(&self) -> MutexGuard<'_, Tokens> {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The document in force, indexed by what requests are looked up by.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};

use crate::{
    config::{
        Handle, Snapshot,
        document::{ServiceSpec, WorkspaceSpec},
    },
    id::{Deployment, Model, Offset, Service, Workspace},
};

/// Separates a model's name from its adapter's.
const ADAPTER_SEPARATOR: char = ':';

/// An index of one document.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    offset: Offset,
    /// By the digest of a caller's key.
    keys: BTreeMap<String, Caller>,
    workspaces: BTreeMap<Workspace, Arc<WorkspaceSpec>>,
    deployments: BTreeSet<Deployment>,
    models: BTreeMap<Model, Vec<Target>>,
    services: BTreeMap<Service, Arc<ServiceSpec>>,
}

/// A caller's workspace and its limits.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: Workspace,
    pub(crate) spec: Arc<WorkspaceSpec>,
}

/// A deployment that serves a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) deployment: Deployment,
    pub(crate) slots: u32,
}

impl Directory {
    fn of(current: &Snapshot) -> Directory {
        let mut directory = Directory { offset: current.offset, ..Directory::default() };
        for piece in current.document.pieces.values() {
            for (workspace, spec) in &piece.workspaces {
                let spec = Arc::new(spec.clone());
                directory.workspaces.insert(workspace.clone(), spec.clone());
                let caller = Caller { workspace: workspace.clone(), spec: spec.clone() };
                for digest in &spec.key_digests {
                    directory.keys.insert(digest.clone(), caller.clone());
                }
            }
            for (deployment, spec) in &piece.deployments {
                let target = Target { deployment: deployment.clone(), slots: spec.slots };
                directory.deployments.insert(deployment.clone());
                for model in &spec.models {
                    directory.models.entry(model.clone()).or_default().push(target.clone());
                }
            }
            for (service, spec) in &piece.services {
                directory.services.insert(service.clone(), Arc::new(spec.clone()));
            }
        }
        directory
    }

    /// The caller whose key has this digest.
    pub(crate) fn caller(&self, digest: &str) -> Option<&Caller> {
        self.keys.get(digest)
    }

    /// The deployments that serve a model, or the model below an adapter.
    pub(crate) fn targets(&self, model: &Model) -> &[Target] {
        if let Some(targets) = self.models.get(model) {
            return targets;
        }
        let base = model.0.split(ADAPTER_SEPARATOR).next().unwrap_or_default();
        self.models.get(&Model::from(base)).map_or(&[], Vec::as_slice)
    }

    /// The limits of a workspace.
    pub(crate) fn workspace(&self, workspace: &Workspace) -> Option<&WorkspaceSpec> {
        self.workspaces.get(workspace).map(Arc::as_ref)
    }

    /// Whether there is a deployment of this name.
    pub(crate) fn has_deployment(&self, name: &str) -> bool {
        self.deployments.contains(&Deployment::from(name))
    }

    /// The plain service of this name.
    pub(crate) fn service(&self, service: &Service) -> Option<Arc<ServiceSpec>> {
        self.services.get(service).cloned()
    }
}

/// Keeps the index of the document in force.
#[derive(Default)]
pub struct Cache {
    current: Mutex<Arc<Directory>>,
}

impl Cache {
    /// The index of the document in force. Built again only after a change.
    pub(crate) fn get(&self, config: &Handle) -> Arc<Directory> {
        let in_force = config.current();
        let mut current = self.current.lock().unwrap();
        if current.offset != in_force.offset {
            *current = Arc::new(Directory::of(&in_force));
        }
        current.clone()
    }
}

//! Upstreams of a fleet as processes.

use std::{net::SocketAddr, path::Path};

use bulrushspread::{
    id::{DataCentre, Vm},
    vms::{Listed, Phase, Role},
};
use serde_json::Value;

use super::{Plan, Proxy, Result, Standin};

/// One upstream process and what the VM list says of it.
pub struct Replica {
    pub vm: Vm,
    pub standin: Standin,
    /// Between the nodes and the upstream, where the plan asks for it.
    pub proxy: Option<Proxy>,
    pub phase: Phase,
    /// The deployment or plain service.
    pub serves: String,
    data_centre: DataCentre,
}

/// Where an upstream starts, and as what.
pub(crate) struct Place<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) directory: &'a Path,
    pub(crate) role: &'static str,
    pub(crate) index: usize,
}

impl Replica {
    pub(crate) async fn start(place: Place<'_>, settings: Value, serves: &str) -> Result<Replica> {
        let Place { plan, directory, role, index } = place;
        let name = format!("{role}-{index}");
        let standin = Standin::start(&plan.program, directory, role, &name, settings).await?;
        let proxy = match plan.proxied.upstreams {
            true => {
                let target = Some(standin.address);
                Some(Proxy::start(&plan.program, directory, &name, target).await?)
            }
            false => None,
        };
        Ok(Replica {
            vm: Vm(name),
            standin,
            proxy,
            phase: Phase::Live,
            serves: serves.to_string(),
            data_centre: plan.data_centre(index),
        })
    }

    fn address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.standin.address, |proxy| proxy.address)
    }

    pub(crate) fn listed(&self) -> Listed {
        Listed {
            vm: self.vm.clone(),
            address: self.address(),
            data_centre: self.data_centre.clone(),
            phase: self.phase,
            role: Role::Upstream { serves: self.serves.clone() },
        }
    }
}

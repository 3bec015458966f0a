//! Nodes of a fleet as processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bulrushspread::{
    id::{DataCentre, Vm},
    node::Ready,
    vms::{Listed, Phase, Role},
};
use serde_json::{Value, json};

use super::{
    Plan, Result,
    keys::{Authority, Files},
    plan::{ENVIRONMENT, OPERATOR_TOKEN, digest},
    process::{Process, Program},
    standin::Proxy,
};

const ANY_PORT: &str = "127.0.0.1:0";

/// Where a node stands and what it reaches.
pub(crate) struct Place {
    pub(crate) vm: Vm,
    pub(crate) data_centre: DataCentre,
    pub(crate) directory: PathBuf,
    pub(crate) log: SocketAddr,
    pub(crate) vm_list: SocketAddr,
}

/// A node's process, with the proxies around it.
pub struct Node {
    pub vm: Vm,
    pub ready: Ready,
    pub process: Process,
    /// Between this node and the log.
    pub log_proxy: Option<Proxy>,
    /// Between the other nodes and this one.
    pub peer_proxy: Option<Proxy>,
    /// Whether the VM list shows the node, and as what.
    pub listed: bool,
    pub phase: Phase,
    place: Place,
    program: Program,
    settings: Value,
}

impl Node {
    /// Starts a node on free ports.
    pub(crate) async fn start(plan: &Plan, keys: &Authority, place: Place) -> Result<Node> {
        let (program, directory) = (&plan.program, &place.directory);
        let log_proxy = match plan.proxied.log {
            true => {
                let name = format!("{}-log", place.vm);
                Some(Proxy::start(program, directory, &name, Some(place.log)).await?)
            }
            false => None,
        };
        let peer_proxy = match plan.proxied.peers {
            true => {
                let name = format!("{}-peer", place.vm);
                Some(Proxy::start(program, directory, &name, None).await?)
            }
            false => None,
        };
        let files = keys.issue(directory, &place.vm)?;
        let mut settings = settings(&place, &keys.file, &files);
        if let Some(proxy) = &log_proxy {
            settings["platform"]["log"] = json!(proxy.address);
        }
        if let Some(proxy) = &peer_proxy {
            settings["peer"]["advertise"] = json!(proxy.address);
        }
        overlay(&mut settings, &plan.node);
        let (process, ready) = run(program, &place, &settings).await?;
        if let Some(proxy) = &peer_proxy {
            proxy.set_target(ready.peer).await?;
        }
        let mut node = Node {
            vm: place.vm.clone(),
            ready,
            process,
            log_proxy,
            peer_proxy,
            listed: true,
            phase: Phase::Live,
            place,
            program: program.clone(),
            settings,
        };
        node.keep_ports();
        Ok(node)
    }

    /// Starts the node again on the ports that it had, once its process has ended.
    pub async fn restart(&mut self) -> Result<()> {
        self.process.kill().await?;
        let (process, ready) = run(&self.program, &self.place, &self.settings).await?;
        self.process = process;
        self.ready = ready;
        Ok(())
    }

    /// The end of the node's log.
    pub fn log_tail(&self) -> String {
        self.process.log_tail()
    }

    /// The node's line in the VM list.
    pub(crate) fn entry(&self) -> Listed {
        Listed {
            vm: self.vm.clone(),
            address: self.peer_proxy.as_ref().map_or(self.ready.peer, |proxy| proxy.address),
            data_centre: self.place.data_centre.clone(),
            phase: self.phase,
            role: Role::Entry,
        }
    }

    fn keep_ports(&mut self) {
        self.settings["gateway"]["listen"] = json!(self.ready.gateway);
        self.settings["operator"]["listen"] = json!(self.ready.operator);
        self.settings["peer"]["listen"] = json!(self.ready.peer);
    }
}

async fn run(program: &Program, place: &Place, settings: &Value) -> Result<(Process, Ready)> {
    let file = place.directory.join(format!("{}.json", place.vm));
    fs::write(&file, serde_json::to_string_pretty(settings)?)?;
    let arguments =
        ["node".to_string(), "--until-stdin-closes".to_string(), file.display().to_string()];
    Process::start(program, &arguments, &place.directory, &place.vm.0).await
}

fn settings(place: &Place, authorities: &Path, files: &Files) -> Value {
    json!({
        "vm": place.vm,
        "data_centre": place.data_centre,
        "environment": ENVIRONMENT,
        "platform": { "log": place.log, "vm_list": place.vm_list },
        "gateway": { "listen": ANY_PORT },
        "operator": { "listen": ANY_PORT, "token_digests": [digest(OPERATOR_TOKEN)] },
        "peer": {
            "listen": ANY_PORT,
            "certificate": files.certificate,
            "key": files.key,
            "authorities": authorities,
        },
    })
}

/// Lays the keys of each section of `sections` over the settings.
fn overlay(settings: &mut Value, sections: &Value) {
    let Some(sections) = sections.as_object() else { return };
    for (section, keys) in sections {
        for (key, value) in keys.as_object().into_iter().flatten() {
            settings[section][key] = value.clone();
        }
    }
}

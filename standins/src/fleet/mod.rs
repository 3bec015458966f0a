//! A fleet of real processes: the platform's stand-ins, upstreams and nodes.
//!
//! Tests, the demo and experiments share it. All processes end when the fleet is dropped.

mod caller;
mod job;
mod keys;
mod node;
mod operator;
mod plan;
mod process;
mod replica;
mod standin;

use std::{collections::BTreeMap, env, path::PathBuf, time::Duration};

use anyhow::Context;
use bulrushspread::{
    config::Piece,
    id::{Team, Vm},
    vms::{Listed, Phase},
};
use futures_util::future::try_join_all;
use http::StatusCode;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    client::{Answer, Client},
    wait::wait_until,
};

pub use caller::{Caller, Chat};
pub use job::{Items, Outcome, job_id};
pub use node::Node;
pub use plan::{
    CALLER_KEY, DEPLOYMENT, ENVIRONMENT, MODEL, OPERATOR_TOKEN, Plan, Proxied, SERVICE, WORKSPACE,
    digest,
};
pub use process::{Process, Program};
pub use replica::Replica;
pub use standin::{Proxy, Standin};

pub type Result<T> = anyhow::Result<T>;

/// Time within which a fleet must be ready to serve.
const START_BOUND: Duration = Duration::from_secs(20);
/// The team whose piece a fleet publishes first.
const TEAM: &str = "platform";
/// Set to keep the directory with settings and logs.
const KEEP_VARIABLE: &str = "STANDINS_KEEP";

/// Running processes.
pub struct Fleet {
    pub plan: Plan,
    pub client: Client,
    pub log: Standin,
    pub vm_list: Standin,
    pub nodes: Vec<Node>,
    pub engines: Vec<Replica>,
    pub plains: Vec<Replica>,
    /// The version of each piece as last published.
    versions: BTreeMap<Team, Value>,
    keys: keys::Authority,
    directory: Directory,
}

/// The directory with settings, keys and logs.
struct Directory {
    path: PathBuf,
    /// Deletes the directory when dropped.
    _guard: Option<TempDir>,
}

impl Directory {
    fn create() -> Result<Directory> {
        let guard = tempfile::Builder::new().prefix("fleet-").tempdir()?;
        if env::var_os(KEEP_VARIABLE).is_none() {
            return Ok(Directory { path: guard.path().to_path_buf(), _guard: Some(guard) });
        }
        let path = guard.keep();
        eprintln!("the fleet's files stay in {}", path.display());
        Ok(Directory { path, _guard: None })
    }
}

impl Fleet {
    /// Starts all processes, publishes the plan's piece and waits until every node serves it.
    pub async fn start(plan: Plan) -> Result<Fleet> {
        let mut fleet = Fleet::start_unconfigured(plan).await?;
        let served = fleet.configure().await;
        served.with_context(|| fleet.diagnosis())?;
        Ok(fleet)
    }

    async fn configure(&mut self) -> Result<()> {
        let piece = self.plan.piece.clone();
        self.publish(0, &Team::from(TEAM), &piece).await?;
        self.wait_ready().await
    }

    /// Starts the fleet and runs a check in it. A failure carries the ends of the nodes' logs.
    pub async fn run(plan: Plan, check: impl AsyncFnOnce(&mut Fleet) -> Result<()>) -> Result<()> {
        let mut fleet = Fleet::start(plan).await?;
        let checked = check(&mut fleet).await;
        checked.with_context(|| fleet.diagnosis())
    }

    /// Starts all processes and lists them.
    pub async fn start_unconfigured(plan: Plan) -> Result<Fleet> {
        let directory = Directory::create()?;
        let keys = keys::Authority::create(&directory.path)?;
        let client = Client::default();
        let start = |name: &'static str, settings: Value| {
            Standin::start(&plan.program, &directory.path, name, name, settings)
        };
        let log = start("log", serde_json::to_value(&plan.log)?).await?;
        let vm_list = start("vm-list", serde_json::to_value(&plan.vm_list)?).await?;
        let mut fleet = Fleet {
            client,
            log,
            vm_list,
            nodes: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            versions: BTreeMap::new(),
            keys,
            directory,
            plan,
        };
        let engines = (0..fleet.plan.engines).map(|index| fleet.start_engine(index));
        let engines = try_join_all(engines).await?;
        let plains = (0..fleet.plan.plains).map(|index| fleet.start_plain(index));
        let plains = try_join_all(plains).await?;
        fleet.engines = engines;
        fleet.plains = plains;
        fleet.list_vms().await?;
        let nodes = (0..fleet.plan.nodes).map(|index| fleet.start_node(index));
        fleet.nodes = try_join_all(nodes).await?;
        fleet.list_vms().await?;
        Ok(fleet)
    }

    /// Starts one more node and lists it.
    pub async fn add_node(&mut self) -> Result<()> {
        let node = self.start_node(self.nodes.len()).await?;
        self.nodes.push(node);
        self.list_vms().await
    }

    /// Starts one more engine and lists it.
    pub async fn add_engine(&mut self) -> Result<()> {
        let engine = self.start_engine(self.engines.len()).await?;
        self.engines.push(engine);
        self.list_vms().await
    }

    /// Tells the VM list what there is now.
    pub async fn list_vms(&self) -> Result<()> {
        let upstreams = self.engines.iter().chain(&self.plains);
        let nodes = self.nodes.iter().filter(|node| node.listed).map(Node::entry);
        let vms: Vec<Listed> = upstreams.map(Replica::listed).chain(nodes).collect();
        self.vm_list.post("/control/vms", &serde_json::to_value(vms)?).await?;
        Ok(())
    }

    /// Makes an engine serve another deployment, once the VMs are listed again.
    pub fn assign_engine(&mut self, index: usize, deployment: &str) {
        self.engines[index].serves = deployment.to_string();
    }

    /// Marks an engine as leaving in the VM list.
    pub async fn mark_engine_leaving(&mut self, index: usize) -> Result<()> {
        self.engines[index].phase = Phase::Leaving;
        self.list_vms().await
    }

    /// Publishes a team's piece through a node's operator listener, once the node is ready.
    pub async fn publish(&mut self, node: usize, team: &Team, piece: &Piece) -> Result<Value> {
        let base = self.versions.get(team).cloned().unwrap_or(Value::Null);
        let body = json!({ "base": base, "piece": piece });
        let what = format!("{} takes the piece of {team}", self.nodes[node].vm);
        let answer = wait_until(&what, START_BOUND, || async {
            let answer = self.nodes[node].put_piece(&self.client, team, &body).await;
            let unready = |answer: &Answer| answer.status == StatusCode::SERVICE_UNAVAILABLE;
            (!answer.as_ref().is_ok_and(unready)).then_some(answer)
        });
        let answer = answer.await??.success()?;
        let version = answer.json::<Value>()?["version"].clone();
        self.versions.insert(team.clone(), version.clone());
        Ok(version)
    }

    /// Waits until every running node serves the plan's model and knows all other nodes.
    pub async fn wait_ready(&self) -> Result<()> {
        let running = || self.nodes.iter().filter(|node| node.process.is_running());
        let listed = running().filter(|node| node.listed).count();
        for node in running() {
            let what = format!("{} serves the plan's document", node.vm);
            wait_until(&what, START_BOUND, || async {
                node.is_ready(&self.client, &self.plan).await.then_some(())
            })
            .await?;
            let what = format!("{} knows {listed} nodes", node.vm);
            wait_until(&what, START_BOUND, || async {
                (node.members(&self.client).await.ok()? >= listed).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// A number that the engines count, summed over those that run.
    pub async fn engine_count(&self, pointer: &str) -> u64 {
        let mut sum = 0;
        for engine in &self.engines {
            sum += engine.standin.count(pointer).await.unwrap_or_default();
        }
        sum
    }

    /// Waits until an engine has generated tokens for the prompt of this name.
    pub async fn wait_active(&self, name: &str) -> Result<()> {
        let pointer = format!("/counts/names/{name}/tokens");
        wait_until(&format!("{name} runs"), START_BOUND, || async {
            (self.engine_count(&pointer).await > 0).then_some(())
        })
        .await
    }

    /// A caller of a node.
    pub fn caller(&self, node: usize) -> Caller {
        Caller::new(self.client.clone(), self.nodes[node].ready.gateway, CALLER_KEY)
    }

    /// The ends of all nodes' logs, for the message of a failed test.
    pub fn diagnosis(&self) -> String {
        let tails = self.nodes.iter().map(|node| format!("== {}\n{}\n", node.vm, node.log_tail()));
        tails.collect()
    }

    async fn start_node(&self, index: usize) -> Result<Node> {
        let place = node::Place {
            vm: Vm(format!("entry-{index}")),
            data_centre: self.plan.data_centre(index),
            directory: self.directory.path.clone(),
            log: self.log.address,
            vm_list: self.vm_list.address,
        };
        Node::start(&self.plan, &self.keys, place).await
    }

    async fn start_engine(&self, index: usize) -> Result<Replica> {
        let settings = serde_json::to_value(&self.plan.engine)?;
        Replica::start(self.place("engine", index), settings, DEPLOYMENT).await
    }

    async fn start_plain(&self, index: usize) -> Result<Replica> {
        let settings = serde_json::to_value(&self.plan.plain)?;
        Replica::start(self.place("plain", index), settings, SERVICE).await
    }

    fn place(&self, role: &'static str, index: usize) -> replica::Place<'_> {
        replica::Place { plan: &self.plan, directory: &self.directory.path, role, index }
    }
}

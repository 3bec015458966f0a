//! A process of the project, started with the command of the deploy file.

use std::{
    fs::File,
    net::{IpAddr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::Client;

/// The zone of all machines.
pub const ZONE: &str = "ljubljana-a";

const PROGRAM: &str = "target/release/bulrushspread-node";

pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts a node at a loopback address of its own; its log goes to a file in `folder`.
    pub fn start(
        name: &str,
        ip: IpAddr,
        store: SocketAddr,
        folder: &Path,
        bounds: &str,
    ) -> std::io::Result<Node> {
        let at = |port| SocketAddr::new(ip, port);
        let (front, ready) = (at(8144), at(8140));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"node\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{ZONE}\"\nregion = \"slo-central\"\ninternal_ports = [7660,7675]\n\
             seeds = []\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200\n\
             [zones]\n{ZONE} = \"slo-central\"\n\
             [listen]\nfront = \"{front}\"\nready_addr = \"{ready}\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 512\nmax_fds = 8200\nlink_mbps = 600.0\ndisk_mb = 0\n\
             [bounds]\n{bounds}\n\
             [provider]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 12\n\
             append_ms = 2.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\n\
             retention_s = 300\npart_mb = 200\nttl_min_ms = 1000\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .env("BULRUSHSPREAD_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node { name: name.to_string(), ip, front, ready, child })
    }

    /// Waits until the node reports that it is ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let mut client = Client::new(self.ready);
            let answer =
                client.send("GET", "/api/ready", &[("Host", "n")], b"", Duration::from_secs(1));
            if answer.is_some_and(|(status, ..)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Loopback addresses that no other run uses at the same time, as far as ports of the system tell.
pub fn addresses(count: u8) -> Vec<IpAddr> {
    let id = std::process::id();
    let (high, low) = ((id >> 8) as u8, id as u8);
    (0..count).map(|index| IpAddr::from([127, 100 + index, high, low.max(1)])).collect()
}

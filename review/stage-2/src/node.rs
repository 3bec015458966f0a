//! The project's own program, as a process with the command of the deploy file.

use std::{
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http;

const FRONT: u16 = 8_144;
const READY: u16 = 8_140;
const INTERNAL: u16 = 7_660;

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts a node in a folder for its settings and its log. The folder is temporary.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Node {
        let ip = free_address();
        let at = |port| SocketAddr::new(ip, port);
        let (front, ready) = (at(FRONT), at(READY));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"node\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"zone-a\"\nregion = \"region-a\"\ninternal_ports = [{INTERNAL}, {}]\n\
             seeds = []\nbootstrap = true\nheartbeat_ms = 1200\n\
             contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"batch\", \"stream\", \"engine\", \"platform\"]\n\
             [zones]\nzone-a = \"region-a\"\n\
             [listen]\nfront = \"{front}\"\nready_addr = \"{ready}\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 290\nmax_fds = 8200\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.6\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n\
             outer_ms = 5000\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 18\nstatus_s = 120\n\
             cancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1\n\
             [provider]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 12\n\
             append_ms = 2.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\n\
             retention_s = 300\npart_mb = 200\nttl_min_ms = 1000\n",
            INTERNAL + 15,
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let mut node = Node { name: name.to_string(), front, ready, settings, log, child: None };
        node.launch();
        node
    }

    /// Starts the process, also again after it has ended.
    pub fn launch(&mut self) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new("target/release/bulrushspread-node");
        command.env_clear().env("BULRUSHSPREAD_SETTINGS", &self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("a log")).stdout(log);
        self.child = Some(command.spawn().expect("the program of the deploy file was built"));
    }

    /// Sends a signal to the process, which this one has started.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/api/ready", &[], b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A loopback address on which all ports of a node are free.
fn free_address() -> IpAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let base = std::process::id();
    loop {
        let draw = base
            .wrapping_mul(2_654_435_761)
            .wrapping_add(COUNT.fetch_add(1, Ordering::Relaxed) * 97);
        let [a, b, c, _] = draw.to_be_bytes();
        let ip: IpAddr =
            format!("127.{}.{}.{}", 32 + a % 160, b, 1 + c % 250).parse().expect("an address");
        let tcp = [FRONT, READY, INTERNAL, INTERNAL + 3, 9_464];
        let udp = [INTERNAL, INTERNAL + 1, INTERNAL + 2, INTERNAL + 3];
        let is_free = tcp.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            && udp.iter().all(|port| UdpSocket::bind((ip, *port)).is_ok());
        if is_free {
            return ip;
        }
    }
}

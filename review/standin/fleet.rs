//! The project's programs as processes, with settings of a small deployment.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net::{Net, free_port};
use crate::record::Record;
use crate::server;

/// Time between two heartbeats of a server, as on the site greenrink.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

const KEY: &str = "1f7c0e5b9a4d3862f0c1b7e8d95a6243870e1f2c3b4a5968d7e6f5048392a1b0";

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub internal: u16,
    pub store: u16,
}

pub struct Fleet {
    pub net: Net,
    pub ports: Ports,
    dir: PathBuf,
    record: Record,
    pub store_addr: SocketAddr,
    /// Addresses of the seeds.
    pub seeds: Vec<Ipv4Addr>,
}

/// A process, killed at the end of the case.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
    record: Record,
}

impl Fleet {
    pub fn new(record: &Record) -> Result<Self, String> {
        let net = Net::new();
        let mut ips: Vec<_> = (1..=4).flat_map(|n| [net.ip(1, n), net.ip(2, n)]).collect();
        ips.extend([net.ip(8, 1), net.ip(9, 1)]);
        let mut taken = Vec::new();
        for _ in 0..7 {
            taken.push(free_port(&ips, &taken)?);
        }
        let ports = Ports {
            packets: taken[0],
            ready: taken[1],
            control: taken[2],
            outbound: taken[3],
            app: taken[4],
            internal: taken[5],
            store: taken[6],
        };
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        Ok(Self {
            net,
            ports,
            dir,
            record: record.clone(),
            store_addr: SocketAddr::from((net.ip(8, 1), ports.store)),
            seeds: Vec::new(),
        })
    }

    /// Address of the front machine `n`.
    pub fn front_ip(&self, n: u8) -> Ipv4Addr {
        self.net.ip(1, n)
    }

    /// Address of the side machine `n`.
    pub fn side_ip(&self, n: u8) -> Ipv4Addr {
        self.net.ip(2, n)
    }

    /// Address of a route. No process listens there.
    pub fn route(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.net.ip(7, n), 8_080)
    }

    /// Where the machine of client `n` gets packets.
    pub fn client_listen(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.net.ip(9, n), self.ports.packets)
    }

    pub fn router_node(&self, n: u8) -> (String, SocketAddr, SocketAddr) {
        let ip = self.front_ip(n);
        let packets = SocketAddr::from((ip, self.ports.packets));
        (format!("front-{n}"), packets, SocketAddr::from((ip, self.ports.ready)))
    }

    fn seeds(&self) -> String {
        let port = self.ports.control;
        let seeds = self.seeds.iter().map(|ip| format!("\"{ip}:{port}\""));
        seeds.collect::<Vec<_>>().join(",")
    }

    /// Starts the balancer of the front machine `n`.
    pub fn start_front(&self, n: u8) -> Result<Node, String> {
        let Ports { packets, ready, internal, .. } = self.ports;
        let (ip, seeds, store) = (self.front_ip(n), self.seeds(), self.store_addr);
        let settings = format!(
            "{{\"name\":\"front-{n}\",\"domain\":\"zone-1\",\"fabric_listen\":\"{ip}:{packets}\",\
             \"ready_listen\":\"{ip}:{ready}\",\"peer_listen\":\"{ip}:{internal}\",\
             \"seeds\":[{seeds}],\"platform\":\"{store}\",\
             \"keys\":[{{\"id\":1,\"secret\":\"{KEY}\"}}],\"flow_life_s\":60,\"grace_s\":6,\
             \"log_level\":\"info\"}}"
        );
        let command = ["target/release/citronhollow", "balancer", "--pass-through"];
        self.start(&format!("front-{n}"), ip, &command, &settings)
    }

    /// Starts the agent of the side machine `n`, whose server belongs to `service`.
    pub fn start_side(&self, n: u8, service: &str) -> Result<Node, String> {
        let Ports { packets, ready, control, outbound, app, internal, .. } = self.ports;
        let (ip, seeds, store) = (self.side_ip(n), self.seeds(), self.store_addr);
        let heartbeat = HEARTBEAT.as_millis();
        let settings = format!(
            "{{\"name\":\"side-{n}\",\"domain\":\"zone-1\",\"group\":\"{service}\",\
             \"target\":\"{ip}:{app}\",\"target_listen\":\"{ip}:{outbound}\",\
             \"heartbeat_listen\":\"{ip}:{control}\",\"ready_listen\":\"{ip}:{ready}\",\
             \"peer_listen\":\"{ip}:{internal}\",\"fabric_listen\":\"{ip}:{packets}\",\
             \"seeds\":[{seeds}],\"platform\":\"{store}\",\
             \"keys\":[{{\"id\":1,\"secret\":\"{KEY}\"}}],\"heartbeat_ms\":{heartbeat},\
             \"flow_life_s\":60,\"log_level\":\"info\"}}"
        );
        let command = ["target/release/citronhollow-agent", "--pass-through"];
        self.start(&format!("side-{n}"), ip, &command, &settings)
    }

    /// Setup of the server on the side machine `n`.
    pub fn server(&self, n: u8, service: &str) -> server::Setup {
        let ip = self.side_ip(n);
        server::Setup {
            id: format!("i-server-{n}"),
            service: service.to_string(),
            zone: String::from("zone-1"),
            app: SocketAddr::from((ip, self.ports.app)),
            outbound: SocketAddr::from((ip, self.ports.outbound)),
            control: SocketAddr::from((ip, self.ports.control)),
            heartbeat: HEARTBEAT,
        }
    }

    fn start(
        &self,
        name: &str,
        ip: Ipv4Addr,
        command: &[&str],
        settings: &str,
    ) -> Result<Node, String> {
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|err| err.to_string())?;
        let log = log_file(&self.dir.join(format!("{name}.log")))?;
        let err_log = log.try_clone().map_err(|err| err.to_string())?;
        let child = Command::new(command[0])
            .args(&command[1..])
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err_log)
            .spawn()
            .map_err(|err| format!("{}: {err}; build first", command[0]))?;
        self.record.note(&format!("{name} is started"));
        Ok(Node {
            name: name.to_string(),
            ip,
            child,
            record: self.record.clone(),
        })
    }

    /// Lines of a process's log that contain `word`.
    pub fn copy_log(&self, name: &str, words: &[&str]) {
        let text = std::fs::read_to_string(self.dir.join(format!("{name}.log")));
        for line in text.unwrap_or_default().lines() {
            if words.iter().any(|word| line.contains(word)) {
                self.record.note(&format!("log of {name}: {line}"));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Node {
    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id();
        let kill = format!("kill -TERM {pid}");
        let _ = Command::new("sh").args(["-c", &kill]).status();
        self.record.note(&format!("{} gets SIGTERM", self.name));
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, longest: Duration) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < longest {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                self.record.note(&format!("{} has ended", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("{} has not ended", self.name))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn log_file(path: &Path) -> Result<File, String> {
    let file = File::options().create(true).append(true).open(path);
    file.map_err(|err| err.to_string())
}

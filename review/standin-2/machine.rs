//! Machines of the system: addresses, settings from the deploy templates, and processes.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use crate::world::World;

/// Ports, the same on all machines of a run.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub inner: u16,
    pub store: u16,
}

impl Ports {
    /// Finds ports that are free on all given addresses.
    pub fn find(ips: &[Ipv4Addr]) -> Option<Self> {
        for _ in 0..50 {
            let first = UdpSocket::bind("127.0.0.1:0").ok()?.local_addr().ok()?.port();
            if first > 65_000 {
                continue;
            }
            let ports = first..first + 7;
            let is_free = ports.clone().all(|port| {
                ips.iter().all(|ip| {
                    UdpSocket::bind((*ip, port)).is_ok() && TcpListener::bind((*ip, port)).is_ok()
                })
            });
            if is_free {
                return Some(Self {
                    packets: first,
                    ready: first + 1,
                    control: first + 2,
                    outbound: first + 3,
                    app: first + 4,
                    inner: first + 5,
                    store: first + 6,
                });
            }
        }
        None
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Class {
    Front,
    Side,
}

pub struct Machine {
    pub name: String,
    pub class: Class,
    pub ip: Ipv4Addr,
    pub store_ip: Ipv4Addr,
    pub process: Option<Child>,
    starts: u32,
}

pub const HEARTBEAT_MS: u64 = 1_200;
pub const GRACE_S: u64 = 6;

/// What all machines have in common.
#[derive(Clone)]
pub struct Site {
    pub dir: PathBuf,
    pub ports: Ports,
    pub seeds: Vec<Ipv4Addr>,
    pub service: String,
    pub world: World,
}

impl Machine {
    pub fn new(number: usize, class: Class) -> Self {
        let kind = if class == Class::Front { "front" } else { "side" };
        Self {
            name: format!("{kind}-za-{number}"),
            class,
            ip: Ipv4Addr::new(127, 21, number as u8, 1),
            store_ip: Ipv4Addr::new(127, 23, number as u8, 1),
            process: None,
            starts: 0,
        }
    }

    pub fn at(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Fills in the template of the deploy file, as the platform does.
    fn settings(&self, site: &Site) -> String {
        let template = match self.class {
            Class::Front => "deploy/balancer.json",
            Class::Side => "deploy/agent.json",
        };
        let text = std::fs::read_to_string(template).expect("the template");
        let quoted = |text: String| format!("\"{text}\"");
        let ports = site.ports;
        let seeds: Vec<_> = site.seeds.iter().map(|ip| format!("\"{ip}:{}\"", ports.control)).collect();
        let values = [
            ("{{nodeId|json}}", quoted(self.name.clone())),
            ("{{zone|json}}", quoted(String::from("za"))),
            ("{{service|json}}", quoted(site.service.clone())),
            ("{{app|json}}", quoted(self.at(ports.app).to_string())),
            ("{{listen.outbound|json}}", quoted(self.at(ports.outbound).to_string())),
            ("{{listen.control|json}}", quoted(self.at(ports.control).to_string())),
            ("{{listen.ready|json}}", quoted(self.at(ports.ready).to_string())),
            ("{{listen.packetListen|json}}", quoted(self.at(ports.packets).to_string())),
            ("{{ip}}", self.ip.to_string()),
            ("{{internalPortRange.0}}", ports.inner.to_string()),
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{platform.addr|json}}", quoted(format!("{}:{}", self.store_ip, ports.store))),
            ("{{heartbeatMs}}", HEARTBEAT_MS.to_string()),
            ("{{bounds.flowTtlS}}", String::from("60")),
            ("{{bounds.graceS}}", GRACE_S.to_string()),
        ];
        let text = values.iter().fold(text, |text, (name, value)| text.replace(name, value));
        assert!(!text.contains("{{"), "a placeholder is left in {text}");
        text
    }

    /// Starts the role's program with the command of the deploy file.
    pub fn start(&mut self, site: &Site) {
        let settings = site.dir.join(format!("{}.json", self.name));
        std::fs::write(&settings, self.settings(site)).expect("the settings");
        self.starts += 1;
        let log = site.dir.join(format!("{}-{}.log", self.name, self.starts));
        let out = File::create(&log).expect("the log");
        let err = out.try_clone().expect("the log");
        let mut command = match self.class {
            Class::Front => {
                let mut command = Command::new("target/release/citronhollow");
                command.args(["balancer", "--pass-through", "--settings"]);
                command
            }
            Class::Side => {
                let mut command = Command::new("target/release/citronhollow-agent");
                command.args(["--pass-through", "--settings"]);
                command
            }
        };
        let child = command.arg(&settings).stdout(out).stderr(err).spawn();
        self.process = Some(child.expect("the program starts"));
        site.world.log(&format!("{} starts", self.name));
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.process {
            let command = format!("kill -s {name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and SIGKILL after the grace time.
    pub fn stop(&mut self, site: &Site) {
        site.world.log(&format!("{} gets SIGTERM", self.name));
        self.signal("TERM");
        let until = Instant::now() + Duration::from_secs(GRACE_S);
        while Instant::now() < until && !self.has_ended() {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        site.world.log(&format!("{} has ended", self.name));
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn temp_dir(case: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("citronhollow-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

pub fn remove_dir(dir: &Path) {
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(dir);
    }
}

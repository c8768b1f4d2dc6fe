//! A small deployment on loopback: one store, fronts, servers with an agent beside each, clients.
//! The programs run with the commands of the deploy file, and settings as its templates make them.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::random;
use crate::server::{self, Seen};
use crate::store::Store;

const SECRET: &str = "1f7c0e5b9a4d3862f0c1b7e8d95a6243870e1f2c3b4a5968d7e6f5048392a1b0";

#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub peers: u16,
    pub store: u16,
}

impl Ports {
    /// Seven ports that nothing uses on any of the addresses.
    pub fn free(ips: &[Ipv4Addr]) -> Option<Self> {
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        for _ in 0..200 {
            let first = 20_000 + random::below(12_000) as u16;
            if (first..first + 7).all(is_free) {
                return Some(Self {
                    packets: first,
                    ready: first + 1,
                    control: first + 2,
                    outbound: first + 3,
                    app: first + 4,
                    peers: first + 5,
                    store: first + 6,
                });
            }
        }
        None
    }
}

pub struct Side {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub service: &'static str,
}

pub struct Deployment {
    pub dir: PathBuf,
    pub ports: Ports,
    pub store: Store,
    /// Addresses that a front machine may have, and the one in use.
    pub front_ips: [Ipv4Addr; 2],
    pub front_number: usize,
    /// Where the routers send callers' packets.
    pub routed_to: Arc<Mutex<SocketAddr>>,
    pub front_zone: &'static str,
    pub sides: Vec<Side>,
    pub seen: Arc<Mutex<Seen>>,
    pub stop: Arc<AtomicBool>,
    pub front: Option<Child>,
    pub agents: Vec<Option<Child>>,
}

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Address of the store for the front (0) or the n-th side machine (n + 1). The store tells machines
/// apart by it, since all connections on loopback come from the same address.
fn store_ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 30, machine as u8 + 1)
}

impl Deployment {
    /// `sides`: zone and service of each server's machine.
    pub fn new(dir: &Path, sides: &[(&'static str, &'static str)], clients: &[Ipv4Addr]) -> Self {
        let front_ips = [Ipv4Addr::new(127, 0, 31, 1), Ipv4Addr::new(127, 0, 31, 2)];
        let sides: Vec<_> = sides
            .iter()
            .enumerate()
            .map(|(n, (zone, service))| Side {
                name: format!("side-{zone}-{}", n + 1),
                ip: Ipv4Addr::new(127, 0, 32, n as u8 + 1),
                zone,
                service,
            })
            .collect();
        let mut ips = Vec::from(front_ips);
        ips.extend((0..=sides.len()).map(store_ip));
        ips.extend(sides.iter().map(|side| side.ip));
        ips.extend(clients);
        let ports = Ports::free(&ips).expect("free ports");
        let agents = sides.iter().map(|_| None).collect();
        Self {
            dir: dir.to_path_buf(),
            ports,
            store: Store::default(),
            front_ips,
            front_number: 0,
            routed_to: Arc::new(Mutex::new((front_ips[0], ports.packets).into())),
            front_zone: "north",
            sides,
            seen: Arc::default(),
            stop: Arc::default(),
            front: None,
            agents,
        }
    }

    pub fn start_store(&self) {
        for machine in 0..=self.sides.len() {
            let address = (store_ip(machine), self.ports.store);
            let listener = TcpListener::bind(address).expect("the store's address");
            self.store.start(listener, machine);
        }
    }

    /// Writes the first configuration: a route to each service.
    pub fn write_config(&self, version: u64, routes: &[(SocketAddrV4, &str, &str)]) {
        let routes: Vec<_> = routes
            .iter()
            .enumerate()
            .map(|(n, (addr, service, kind))| {
                format!(
                    "{{\"name\":\"r-{n}\",\"host\":\"{}\",\"pathPrefix\":\"/{}/\",\"type\":\"{kind}\",\
                     \"timeoutMs\":4000,\"goalMs\":300,\"priority\":1,\"service\":\"{service}\",\
                     \"maxAttempts\":2}}",
                    addr.ip(),
                    addr.port()
                )
            })
            .collect();
        let mut services: Vec<_> = self.sides.iter().map(|side| side.service).collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<_> = services
            .iter()
            .map(|name| {
                format!(
                    "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\
                     \"protocol\":\"h1\",\"tls\":false}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
             {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("config", "main", Json::parse(&text).expect("a configuration"));
    }

    pub fn start_servers(&self, sides: std::ops::Range<usize>) {
        for side in &self.sides[sides] {
            let setup = server::Setup {
                name: side.name.clone(),
                service: String::from(side.service),
                zone: String::from(side.zone),
                app: (side.ip, self.ports.app).into(),
                outbound: (side.ip, self.ports.outbound).into(),
                control: (side.ip, self.ports.control).into(),
                heartbeat: HEARTBEAT,
                slots: 8,
                work: Duration::from_micros(500),
                packet_time: Duration::from_micros(300),
            };
            server::start(setup, Arc::clone(&self.seen), Arc::clone(&self.stop));
        }
    }

    fn spawn(&self, program: &str, words: &[&str], name: &str, settings: &str) -> Child {
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings).expect("a settings file");
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        Command::new(format!("target/release/{program}"))
            .args(words)
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program is built")
    }

    pub fn start_front(&mut self) {
        let Ports { packets, ready, control, peers, store, .. } = self.ports;
        let (ip, store_ip) = (self.front_ips[self.front_number], store_ip(0));
        *self.routed_to.lock().unwrap() = (ip, packets).into();
        let settings = format!(
            "{{\"name\":\"front-{zone}-{number}\",\"domain\":\"{zone}\",\"fabric_listen\":\"{ip}:{packets}\",\
             \"ready_listen\":\"{ip}:{ready}\",\"peer_listen\":\"{ip}:{peers}\",\
             \"seeds\":[\"{ip}:{control}\"],\"platform\":\"{store_ip}:{store}\",\
             \"keys\":[{{\"id\":1,\"secret\":\"{SECRET}\"}}],\"flow_life_s\":60,\"grace_s\":6,\
             \"log_level\":\"info\"}}",
            zone = self.front_zone,
            number = self.front_number + 1
        );
        let words = ["balancer", "--pass-through"];
        self.front = Some(self.spawn("citronhollow", &words, "front", &settings));
    }

    pub fn start_agent(&mut self, n: usize) {
        let Ports { packets, ready, control, outbound, app, peers, store } = self.ports;
        let (side, front) = (&self.sides[n], self.front_ips[self.front_number]);
        let (ip, store_ip) = (side.ip, store_ip(n + 1));
        let settings = format!(
            "{{\"name\":\"{}\",\"domain\":\"{}\",\"group\":\"{}\",\"target\":\"{ip}:{app}\",\
             \"target_listen\":\"{ip}:{outbound}\",\"heartbeat_listen\":\"{ip}:{control}\",\
             \"ready_listen\":\"{ip}:{ready}\",\"peer_listen\":\"{ip}:{peers}\",\
             \"fabric_listen\":\"{ip}:{packets}\",\"seeds\":[\"{front}:{control}\"],\
             \"platform\":\"{store_ip}:{store}\",\"keys\":[{{\"id\":1,\"secret\":\"{SECRET}\"}}],\
             \"heartbeat_ms\":{},\"flow_life_s\":60,\"log_level\":\"info\"}}",
            side.name,
            side.zone,
            side.service,
            HEARTBEAT.as_millis()
        );
        let name = side.name.clone();
        let agent = self.spawn("citronhollow-agent", &["--pass-through"], &name, &settings);
        self.agents[n] = Some(agent);
    }

    /// Whether the front answers its probe with 200.
    pub fn is_front_ready(&self) -> bool {
        let to = (self.front_ips[self.front_number], self.ports.ready).into();
        let answer = crate::http::call(to, "GET", "/ready", "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Stops the front as the platform does: SIGTERM, SIGKILL after the grace time. Returns how long
    /// it took to end.
    pub fn stop_front(&mut self) -> Duration {
        let started = Instant::now();
        if let Some(mut front) = self.front.take() {
            terminate(&mut front, Duration::from_secs(6));
        }
        started.elapsed()
    }

    pub fn end(&mut self) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        let children = self.agents.iter_mut().chain(std::iter::once(&mut self.front));
        for child in children.filter_map(Option::as_mut) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal to a process of this test.
pub fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
}

pub fn terminate(child: &mut Child, grace: Duration) {
    signal(child, "TERM");
    let until = Instant::now() + grace;
    while Instant::now() < until {
        if matches!(child.try_wait(), Ok(Some(_))) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

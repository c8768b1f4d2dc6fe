//! Runs the real programs as processes, with generated settings.
//!
//! Every process has its own loopback address, and all use the same ports, as on the platform's
//! VMs.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use citronhollow_core::clock::Millis;
use citronhollow_testkit::ports::free_addr;
use citronhollow_testkit::process::{Process, Signal};
use serde_json::{Value, json};

use crate::bounds::{GRACE_PERIOD, HEARTBEAT_INTERVAL};
use crate::plan::{Node, Shape};

/// Services of the targets, by number.
pub const SERVICES: [&str; 2] = ["match-desk", "draw-office"];

/// Failure domains, by number.
const DOMAINS: [&str; 2] = ["ahmedabad", "surat"];

/// Second octets of the loopback addresses of balancers, agents and callers.
const BALANCER_NET: u8 = 1;
const AGENT_NET: u8 = 2;
const CALLER_NET: u8 = 3;

/// Number of addresses that differ in the last octet only.
const ADDRESSES_PER_NET: usize = 250;

/// Time between the exit of a process and its next start.
const RESTART_AFTER: Millis = Millis(300);

/// Ports that all processes share.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Caller packets, at balancers and at callers.
    pub fabric: u16,
    /// Peer messages.
    peer: u16,
    /// Readiness probes.
    ready: u16,
    /// Heartbeats from an agent's target.
    heartbeat: u16,
    /// Packets from a target to its agent.
    from_target: u16,
    /// Packets from an agent to its target.
    target: u16,
}

impl Ports {
    fn find() -> io::Result<Self> {
        let port = || Ok::<_, io::Error>(free_addr()?.port());
        Ok(Self {
            fabric: port()?,
            peer: port()?,
            ready: port()?,
            heartbeat: port()?,
            from_target: port()?,
            target: port()?,
        })
    }
}

#[derive(Debug)]
struct Member {
    settings: PathBuf,
    process: Option<Process>,
    /// Number of starts so far.
    starts: u32,
    is_paused: bool,
    stopping_since: Option<Millis>,
    /// Time of the next start after an exit.
    start_at: Option<Millis>,
}

/// A change found by [`Fleet::poll`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessEvent {
    /// A process exited on its own.
    Ended(Node),
    /// A process did not exit within its grace period and was killed.
    Overdue(Node),
    /// A process was restarted after its exit.
    Restarted(Node),
}

/// All processes of a run.
#[derive(Debug)]
pub struct Fleet {
    dir: PathBuf,
    /// Ports that all processes share.
    pub ports: Ports,
    members: BTreeMap<Node, Member>,
}

impl Fleet {
    /// Writes the settings of all processes to `dir`. `link` returns the store address for each.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or no port is free.
    pub fn new(dir: &Path, shape: Shape, link: impl Fn(Node) -> SocketAddr) -> io::Result<Self> {
        let ports = Ports::find()?;
        let mut members = BTreeMap::new();
        for node in shape.nodes() {
            let settings = match node {
                Node::Balancer(number) => balancer_settings(number, ports, link(node)),
                Node::Agent(number) => agent_settings(number, ports, link(node)),
            };
            let path = dir.join(format!("{node}.json"));
            std::fs::write(&path, settings.to_string())?;
            let member = Member {
                settings: path,
                process: None,
                starts: 0,
                is_paused: false,
                stopping_since: None,
                start_at: None,
            };
            members.insert(node, member);
        }
        Ok(Self {
            dir: dir.to_path_buf(),
            ports,
            members,
        })
    }

    /// Number of times that a process was started.
    #[must_use]
    pub fn starts(&self, node: Node) -> u32 {
        self.members.get(&node).map_or(0, |member| member.starts)
    }

    /// Whether the process was started and has not been killed or ended since.
    #[must_use]
    pub fn is_running(&self, node: Node) -> bool {
        let member = self.members.get(&node);
        member.is_some_and(|member| member.process.is_some())
    }

    /// Starts a process, unless it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start(&mut self, node: Node) -> io::Result<()> {
        let Some(member) = self.members.get_mut(&node) else {
            return Ok(());
        };
        if member.process.is_some() {
            return Ok(());
        }
        member.starts += 1;
        member.start_at = None;
        let log = self.dir.join(format!("{node}-{}.log", member.starts));
        let settings = member.settings.display().to_string();
        let (binary, args) = match node {
            Node::Balancer(_) => ("citronhollow", ["balancer", "--pass-through"].as_slice()),
            Node::Agent(_) => ("citronhollow-agent", ["--pass-through"].as_slice()),
        };
        let args = args.iter().copied().chain(["--settings", &settings]);
        let name = node.to_string();
        member.process = Some(Process::start(binary, &name, args, &log)?);
        Ok(())
    }

    /// Kills a process. Returns whether a stop or restart of it was in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn kill(&mut self, node: Node) -> io::Result<bool> {
        let Some(member) = self.members.get_mut(&node) else {
            return Ok(false);
        };
        let was_stopping = member.stopping_since.is_some() || member.start_at.is_some();
        (member.is_paused, member.stopping_since, member.start_at) = (false, None, None);
        if let Some(mut process) = member.process.take() {
            process.kill()?;
        }
        Ok(was_stopping)
    }

    /// Asks a process to stop. It is restarted after its exit. Returns whether the request was
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&mut self, now: Millis, node: Node) -> io::Result<bool> {
        let Some(member) = self.members.get_mut(&node) else {
            return Ok(false);
        };
        match &member.process {
            Some(process) if member.stopping_since.is_none() => {
                process.signal(Signal::Terminate)?;
                member.stopping_since = Some(now);
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    /// Sends a signal that does not stop the process, if it is running. Resuming a process that was
    /// asked to stop while frozen restarts its grace period, because it handles the request only
    /// now.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&mut self, now: Millis, node: Node, signal: Signal) -> io::Result<()> {
        let Some(member) = self.members.get_mut(&node) else {
            return Ok(());
        };
        let Some(process) = &mut member.process else {
            return Ok(());
        };
        if process.has_ended()? {
            // The next poll detects and reports the exit.
            return Ok(());
        }
        match signal {
            Signal::Stop => member.is_paused = true,
            Signal::Continue => {
                member.is_paused = false;
                member.stopping_since = member.stopping_since.map(|_| now);
            }
            Signal::Terminate | Signal::Reload => {}
        }
        process.signal(signal)
    }

    /// Detects exits, kills processes whose grace period is over, and starts those that are due.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or signalled.
    pub fn poll(&mut self, now: Millis) -> io::Result<Vec<ProcessEvent>> {
        let mut found = Vec::new();
        let mut due = Vec::new();
        for (node, member) in &mut self.members {
            if member.start_at.is_some_and(|at| now >= at) {
                due.push(*node);
            }
            let Some(process) = &mut member.process else {
                continue;
            };
            let has_ended = process.has_ended()?;
            match member.stopping_since {
                None if has_ended => {
                    found.push(ProcessEvent::Ended(*node));
                    member.process = None;
                    member.start_at = Some(now.after(RESTART_AFTER));
                }
                Some(since)
                    if has_ended || (now >= since.after(GRACE_PERIOD) && !member.is_paused) =>
                {
                    if !has_ended {
                        found.push(ProcessEvent::Overdue(*node));
                        process.kill()?;
                    }
                    member.process = None;
                    member.stopping_since = None;
                    member.start_at = Some(now.after(RESTART_AFTER));
                }
                _ => {}
            }
        }
        for node in due {
            self.start(node)?;
            found.push(ProcessEvent::Restarted(node));
        }
        Ok(found)
    }

    /// Address on which a balancer receives caller packets.
    #[must_use]
    pub fn fabric(&self, balancer: usize) -> SocketAddr {
        address(BALANCER_NET, balancer, self.ports.fabric)
    }

    /// Address of a balancer's readiness probe.
    #[must_use]
    pub fn probe(&self, balancer: usize) -> SocketAddr {
        address(BALANCER_NET, balancer, self.ports.ready)
    }

    /// Address on which a target receives packets.
    #[must_use]
    pub fn target(&self, target: usize) -> SocketAddr {
        address(AGENT_NET, target, self.ports.target)
    }

    /// Address on which a target's agent receives packets from the target.
    #[must_use]
    pub fn from_target(&self, target: usize) -> SocketAddr {
        address(AGENT_NET, target, self.ports.from_target)
    }

    /// Address on which a target's agent receives heartbeats.
    #[must_use]
    pub fn heartbeats(&self, target: usize) -> SocketAddr {
        address(AGENT_NET, target, self.ports.heartbeat)
    }

    /// Address on which a caller receives packets.
    #[must_use]
    pub fn caller(&self, caller: usize) -> SocketAddr {
        address(CALLER_NET, caller, self.ports.fabric)
    }
}

/// Service of a target. Three of every five targets belong to the first service.
#[must_use]
pub const fn service_of(target: usize) -> usize {
    if target % 5 < 3 { 0 } else { 1 }
}

fn address(net: u8, number: usize, port: u16) -> SocketAddr {
    let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    let (high, low) = (number / ADDRESSES_PER_NET, number % ADDRESSES_PER_NET + 1);
    let ip = Ipv4Addr::new(127, net, octet(high), octet(low));
    SocketAddr::new(IpAddr::V4(ip), port)
}

fn domain_of(number: usize) -> &'static str {
    DOMAINS[number % DOMAINS.len()]
}

fn keys() -> Value {
    json!([{"id": 1, "secret": "ab".repeat(32)}])
}

/// Seed peers of every process: the first two balancers. The platform also configures only some VMs
/// as seeds.
fn seeds(ports: Ports) -> [SocketAddr; 2] {
    [0, 1].map(|number| address(BALANCER_NET, number, ports.peer))
}

fn balancer_settings(number: usize, ports: Ports, store: SocketAddr) -> Value {
    let listen = |port| address(BALANCER_NET, number, port);
    json!({
        "name": Node::Balancer(number).to_string(), "domain": domain_of(number),
        "fabric_listen": listen(ports.fabric), "ready_listen": listen(ports.ready),
        "peer_listen": listen(ports.peer), "seeds": seeds(ports), "platform": store,
        "keys": keys(), "flow_life_s": 60, "grace_s": GRACE_PERIOD.0 / 1_000,
    })
}

fn agent_settings(number: usize, ports: Ports, store: SocketAddr) -> Value {
    let listen = |port| address(AGENT_NET, number, port);
    json!({
        "name": Node::Agent(number).to_string(), "domain": domain_of(number),
        "group": SERVICES[service_of(number)], "target": listen(ports.target),
        "target_listen": listen(ports.from_target), "heartbeat_listen": listen(ports.heartbeat),
        "ready_listen": listen(ports.ready), "peer_listen": listen(ports.peer),
        "fabric_listen": listen(ports.fabric), "seeds": seeds(ports), "platform": store,
        "keys": keys(), "heartbeat_ms": HEARTBEAT_INTERVAL.0, "flow_life_s": 60,
    })
}

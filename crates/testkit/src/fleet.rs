//! A small fleet of processes on loopback.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use citronhollow_core::config::Documents;
use citronhollow_operator::status::Status;
use serde_json::json;

use crate::ports::free_addr;
use crate::process::{Process, Signal, binaries};
use crate::target::{TargetSettings, fetch_report};

/// Operator token of the stand-in fleet.
pub const TOKEN: &str = "operator-token-of-the-stand-in-fleet";

/// Timeout of every wait for a condition, such as the start of a process.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Process and addresses of a balancer.
#[derive(Debug)]
pub struct BalancerNode {
    /// The balancer process.
    pub process: Process,
    /// Address to which the fabric sends packets.
    pub fabric: SocketAddr,
    /// Address for agents and other balancers.
    pub control: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// Processes of a target and its agent.
#[derive(Debug)]
pub struct TargetNode {
    /// The target process.
    pub target: Process,
    /// The agent process.
    pub agent: Process,
    /// Address on which the target listens.
    pub listen: SocketAddr,
    /// Name of the target.
    pub name: String,
}

/// Description of a target to start.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Name of the target.
    pub name: String,
    /// Group that it announces.
    pub group: String,
    /// Name of the service that it serves.
    pub service: String,
    /// Number of requests that it announces it can process concurrently.
    pub slots: u16,
    /// Duration of a request, in milliseconds.
    pub work_ms: u64,
}

/// All processes of a run.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    fabric: SocketAddr,
    /// The platform stand-in.
    pub platform: Process,
    platform_addr: SocketAddr,
    /// Balancers, in the order of their start.
    pub balancers: Vec<BalancerNode>,
    /// Targets, in the order of their start.
    pub targets: Vec<TargetNode>,
    started: usize,
    observer: Option<SocketAddr>,
}

impl Fleet {
    /// Starts the platform stand-in and `balancers` balancers.
    ///
    /// # Errors
    ///
    /// Returns the error of the first process that does not start.
    pub fn start(name: &str, fabric: SocketAddr, balancers: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform_addr = free_addr()?;
        let platform = Process::start(
            "standin_platform",
            "platform",
            ["--listen", &platform_addr.to_string()],
            &folder.join("platform.log"),
        )?;
        wait_for(platform_addr)?;
        let mut fleet = Self {
            folder,
            fabric,
            platform,
            platform_addr,
            balancers: Vec::new(),
            targets: Vec::new(),
            started: 0,
            observer: None,
        };
        for _ in 0..balancers {
            fleet.add_balancer()?;
        }
        Ok(fleet)
    }

    /// Makes all processes started after this call trace every flow and send spans and metrics to
    /// this UDP address.
    pub const fn set_observer(&mut self, observer: SocketAddr) {
        self.observer = Some(observer);
    }

    /// Starts one more balancer, with the running ones as its seeds.
    ///
    /// # Errors
    ///
    /// Returns the error of the process.
    pub fn add_balancer(&mut self) -> io::Result<()> {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let fabric = free_addr()?;
        let control = free_addr()?;
        let operator = free_addr()?;
        let settings = json!({
            "name": name,
            "domain": "domain-a",
            "fabric_listen": fabric,
            "control_listen": control,
            "operator_listen": operator,
            "seeds": self.seeds(),
            "platform": self.platform_addr,
            "keys": keys(),
            "operator_token": TOKEN,
            "trace_one_in": u32::from(self.observer.is_some()),
            "traces": self.observer,
            "metrics": self.observer,
        });
        let file = self.write(&name, &settings)?;
        let args = ["balancer", "--settings", &file];
        let process = Process::start("citronhollow", &name, args, &self.log(&name))?;
        wait_for(operator)?;
        self.balancers.push(BalancerNode {
            process,
            fabric,
            control,
            operator,
        });
        Ok(())
    }

    /// Starts a target and its agent.
    ///
    /// # Errors
    ///
    /// Returns the error of the process.
    pub fn add_target(&mut self, plan: &TargetPlan) -> io::Result<()> {
        let listen = free_addr()?;
        let announce = free_addr()?;
        let settings = json!({
            "name": plan.name,
            "domain": "domain-a",
            "traffic_listen": free_addr()?,
            "announce_listen": announce,
            "fabric": [self.fabric],
            "seeds": self.seeds(),
            "keys": keys(),
            "traces": self.observer,
            "metrics": self.observer,
        });
        let agent_name = format!("agent-{}", plan.name);
        let file = self.write(&agent_name, &settings)?;
        let args = ["--settings", &file];
        let agent = Process::start(
            "citronhollow-agent",
            &agent_name,
            args,
            &self.log(&agent_name),
        )?;
        wait_for(announce)?;
        let settings = TargetSettings {
            name: plan.name.clone(),
            service: plan.service.clone(),
            group: plan.group.clone(),
            listen,
            slots: plan.slots,
            work_ms: plan.work_ms,
            announce_to: announce,
        };
        let file = self.write(&plan.name, &serde_json::to_value(settings)?)?;
        let target = Process::start("standin_target", &plan.name, [file], &self.log(&plan.name))?;
        wait_for(listen)?;
        self.targets.push(TargetNode {
            target,
            agent,
            listen,
            name: plan.name.clone(),
        });
        Ok(())
    }

    /// Runs an operator command against the first balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if no balancer runs or the command cannot be started.
    pub fn operate(&self, args: &[&str]) -> io::Result<Output> {
        let balancer = self
            .balancers
            .first()
            .ok_or_else(|| io::Error::other("no balancer runs"))?;
        Command::new(binaries()?.join("citronhollow"))
            .args(args)
            .env("CITRONHOLLOW_BALANCER", balancer.operator.to_string())
            .env("CITRONHOLLOW_TOKEN", TOKEN)
            .output()
    }

    /// Applies documents and waits until they are in force.
    ///
    /// # Errors
    ///
    /// Returns the command's standard error if it failed.
    pub fn apply(&self, documents: &Documents) -> io::Result<()> {
        let file = self.write("documents", &serde_json::to_value(documents)?)?;
        let output = self.operate(&["apply", &file, "--wait", "10"])?;
        succeeded(&output)
    }

    /// Drains a target.
    ///
    /// # Errors
    ///
    /// Returns the command's standard error if it failed.
    pub fn drain(&self, target: &str) -> io::Result<()> {
        let output = self.operate(&["drain", target])?;
        succeeded(&output)
    }

    /// Sends the terminate signal to the balancer at index `at` and removes it from the list.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal.
    pub fn begin_retirement(&mut self, at: usize) -> io::Result<BalancerNode> {
        let node = self.balancers.remove(at);
        node.process.signal(Signal::Terminate)?;
        Ok(node)
    }

    /// Waits until a balancer that was asked to terminate has exited.
    ///
    /// # Errors
    ///
    /// Returns a timeout error if it keeps running.
    pub fn end_retirement(mut node: BalancerNode) -> io::Result<()> {
        wait_until(|| node.process.has_ended())
    }

    /// Waits until every balancer reports at least `count` targets that accept new flows.
    ///
    /// # Errors
    ///
    /// Returns a timeout error if that does not happen, or the error of the status command.
    pub fn wait_for_ready_targets(&self, count: usize) -> io::Result<()> {
        wait_until(|| {
            for balancer in &self.balancers {
                if Self::ready_targets(balancer)? < count {
                    return Ok(false);
                }
            }
            Ok(true)
        })
    }

    fn ready_targets(balancer: &BalancerNode) -> io::Result<usize> {
        let output = Command::new(binaries()?.join("citronhollow"))
            .args(["status", "--json"])
            .env("CITRONHOLLOW_BALANCER", balancer.operator.to_string())
            .env("CITRONHOLLOW_TOKEN", TOKEN)
            .output()?;
        succeeded(&output)?;
        let status: Status = serde_json::from_slice(&output.stdout)?;
        let ready = status.fleet.targets.iter();
        Ok(ready.filter(|target| target.state.takes_new()).count())
    }

    /// Addresses of all balancers to which the fabric sends packets.
    #[must_use]
    pub fn fabric_addrs(&self) -> Vec<SocketAddr> {
        self.balancers.iter().map(|node| node.fabric).collect()
    }

    /// Returns how often each nonce ran, over all running targets.
    ///
    /// # Errors
    ///
    /// Returns the error of a target that does not answer.
    pub fn ran(&self) -> io::Result<BTreeMap<u64, u64>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let mut ran = BTreeMap::new();
        for node in &self.targets {
            let report = runtime.block_on(fetch_report(node.listen))?;
            for (nonce, times) in report.ran {
                *ran.entry(nonce).or_default() += times;
            }
        }
        Ok(ran)
    }

    /// Folder of the settings and log files.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.balancers.iter().map(|node| node.control).collect()
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    fn write(&self, name: &str, settings: &serde_json::Value) -> io::Result<String> {
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_vec_pretty(settings)?)?;
        Ok(file.to_string_lossy().into_owned())
    }
}

fn keys() -> serde_json::Value {
    json!([{ "id": 1, "secret": "5a".repeat(32) }])
}

fn succeeded(output: &Output) -> io::Result<()> {
    if output.status.success() {
        return Ok(());
    }
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(io::Error::other(printed))
}

/// Waits until a TCP address accepts connections.
fn wait_for(addr: SocketAddr) -> io::Result<()> {
    wait_until(|| Ok(std::net::TcpStream::connect(addr).is_ok()))
}

/// Waits until `condition` returns true.
///
/// # Errors
///
/// Returns the error of `condition`, or a timeout error.
pub fn wait_until(mut condition: impl FnMut() -> io::Result<bool>) -> io::Result<()> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if condition()? {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(io::ErrorKind::TimedOut.into())
}

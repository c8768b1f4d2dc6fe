//! Stand-ins and cases of the third review. `stand CASE RECORD` plays a case and writes the record.
//! It exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! With TROUBLE=0 in the environment the disruption is left out.

mod client;
mod deployment;
mod http;
mod json;
mod packet;
mod random;
mod server;
mod store;

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use client::Report;
use deployment::Deployment;
use server::Seen;

/// Lines of the record, also shown as they come.
struct Record {
    path: PathBuf,
    started: Instant,
    text: String,
}

impl Record {
    fn line(&mut self, line: &str) {
        let line = format!("{:8.2} s  {line}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        self.text.push_str(&line);
        let _ = fs::write(&self.path, &self.text);
    }
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: stand CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("stand-{}-{}", std::process::id(), random::word()));
    if fs::create_dir_all(&dir).is_err() {
        return ExitCode::from(2);
    }
    let started = Instant::now();
    let mut record = Record { path: path.into(), started, text: String::new() };
    record.line(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let play = || match case.as_str() {
        "unlisted-server" => unlisted_server(&dir, has_trouble, &mut record),
        "rolling-machines" => rolling_machines(&dir, has_trouble, &mut record),
        "front-restart" => front_restart(&dir, has_trouble, &mut record),
        _ => 2,
    };
    // A stand-in that cannot start says nothing about the rule.
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play)).unwrap_or(2);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    record.line(&format!("exit {code}"));
    ExitCode::from(code)
}

/// Starts the store, the front and the first `running` servers with their agents, and clients with
/// flows of ages in `close_s`. Returns once all have been calm for longer than `stabilityWindowMs`.
fn start(
    dir: &Path,
    sides: &[(&'static str, &'static str)],
    running: usize,
    close_s: (u32, u32),
    record: &mut Record,
) -> Option<(Deployment, Arc<Mutex<Report>>, JoinHandle<()>)> {
    let ips: Vec<_> = (1..=6).map(|n| Ipv4Addr::new(127, 0, 33, n)).collect();
    let mut deployment = Deployment::new(dir, sides, &ips);
    let route = SocketAddrV4::new(Ipv4Addr::new(127, 0, 34, 1), 443);
    deployment.start_store();
    deployment.write_config(7, &[(route, "desk", "idempotent")]);
    deployment.start_servers(0..running);
    deployment.start_front();
    (0..running).for_each(|n| deployment.start_agent(n));
    let ready_by = Instant::now() + Duration::from_secs(10);
    while !deployment.is_front_ready() {
        if Instant::now() > ready_by {
            record.line("the front did not become ready");
            return None;
        }
        sleep(Duration::from_millis(100));
    }
    record.line(&format!("one front, {running} servers with an agent each, one route; the front is ready"));
    sleep(Duration::from_secs(1));
    let report: Arc<Mutex<Report>> = Arc::default();
    let clients = {
        let setup = client::Setup {
            ips,
            port: deployment.ports.packets,
            front: Arc::clone(&deployment.routed_to),
            routes: vec![route],
            flows: 600,
            pause_ms: (400, 1_600),
            deadline: Duration::from_secs(4),
            close_s,
        };
        let (seen, report) = (Arc::clone(&deployment.seen), Arc::clone(&report));
        let stop = Arc::clone(&deployment.stop);
        std::thread::spawn(move || client::run(setup, &seen, &report, &stop))
    };
    sleep(Duration::from_secs(6));
    Some((deployment, report, clients))
}

/// Stops the front's process and starts it again half a second after it has ended.
fn restart_front(deployment: &mut Deployment, record: &mut Record) {
    let took = deployment.stop_front().as_secs_f64();
    sleep(Duration::from_millis(500));
    deployment.start_front();
    record.line(&format!("the front ended {took:.1} s after SIGTERM and was started 0.5 s later"));
}

fn note(report: &Mutex<Report>, record: &mut Record) -> usize {
    let report = report.lock().unwrap();
    let Report { opened, answered, refused, unopened, .. } = *report;
    record.line(&format!(
        "  so far: {opened} flows opened, {answered} requests answered, {refused} flows refused, \
         {unopened} not opened; wrong resets {}, resets that clients ignore {}, others {}",
        report.wrong_resets.len(),
        report.ignored_resets,
        report.other_resets + report.resets_by_server
    ));
    report.wrong_resets.len()
}

/// Part (a) or (b) of the rule FLOW.
#[derive(Clone, Copy, PartialEq)]
enum Part {
    Resets,
    Strayed,
}

fn judge(
    part: Part,
    mut deployment: Deployment,
    report: &Mutex<Report>,
    clients: JoinHandle<()>,
    record: &mut Record,
) -> u8 {
    deployment.end();
    let _ = clients.join();
    let report = report.lock().unwrap();
    let seen = deployment.seen.lock().unwrap();
    let strayed = strayed_flows(&seen);
    let broken = match part {
        Part::Resets => &report.wrong_resets,
        Part::Strayed => &strayed,
    };
    for line in broken.iter().take(40) {
        record.line(&format!("FLOW: {line}"));
    }
    record.line(&format!(
        "part (a), open flows reset: {}; part (b), open flows whose packets went to other servers only \
         for 2 s: {}; this case judges ({})",
        report.wrong_resets.len(),
        strayed.len(),
        if part == Part::Resets { "a" } else { "b" }
    ));
    let twice = seen.runs.values().filter(|runs| runs.len() > 1).count();
    record.line(&format!(
        "requests run {}, run twice {twice}, packets changed on the way {}",
        seen.runs.len(),
        seen.forged + report.forged
    ));
    if report.answered < 1_000 {
        record.line("too few requests were answered to judge");
        return 2;
    }
    u8::from(!broken.is_empty())
}

/// Open flows of which, for `reorderMs`, three or more packets reached other servers and none its own.
fn strayed_flows(seen: &Seen) -> Vec<String> {
    const REORDER: Duration = Duration::from_secs(2);
    let mut found = Vec::new();
    for (key, strayed) in &seen.strayed {
        let no_arrivals = Vec::new();
        let arrived = seen.arrived.get(key).unwrap_or(&no_arrivals);
        // The flow is open from the first arrival at its server, and is still in use at the last.
        let (Some(first), Some(last)) = (arrived.first(), arrived.last()) else { continue };
        for (_, since) in strayed {
            let until = *since + REORDER;
            let is_within = |at: &Instant| *at >= *since && *at <= until;
            let others = strayed.iter().filter(|(_, at)| is_within(at)).count();
            let is_open = first < since && *last >= until;
            if is_open && others >= 3 && !arrived.iter().any(is_within) {
                let before = arrived.iter().rev().find(|at| *at < since).unwrap_or(first);
                let after = arrived.iter().find(|at| **at > until).unwrap_or(last);
                found.push(format!(
                    "{} -> {}: {others} packets reached other servers in 2 s and none its own; \
                     its own server had none for {:.2} s, and then had the flow on",
                    key.0,
                    key.1,
                    after.duration_since(*before).as_secs_f64()
                ));
                break;
            }
        }
    }
    found
}

/// A deployment with one front whose process is stopped and started, again and again, while clients
/// use flows that are open at servers which are left alone.
fn front_restart(dir: &Path, has_trouble: bool, record: &mut Record) -> u8 {
    const RESTARTS: u32 = 14;
    let sides = [("north", "desk"), ("south", "desk"), ("south", "desk"), ("south", "desk")];
    let Some(started) = start(dir, &sides, sides.len(), (35, 45), record) else {
        return 2;
    };
    let (mut deployment, report, clients) = started;
    for _ in 0..RESTARTS {
        if has_trouble {
            restart_front(&mut deployment, record);
            sleep(Duration::from_millis(1_200));
        } else {
            sleep(Duration::from_millis(7_000));
        }
        if note(&report, record) >= 3 {
            break;
        }
    }
    judge(Part::Resets, deployment, &report, clients, record)
}

/// A server is added while the store turns its machine away, and takes flows. Meanwhile the only
/// front machine is stopped and another one is added at a new address.
fn unlisted_server(dir: &Path, has_trouble: bool, record: &mut Record) -> u8 {
    const ADDED: usize = 3;
    let running = 4;
    let sides = [("north", "desk"); 4 + ADDED];
    let Some(started) = start(dir, &sides, running, (6, 18), record) else {
        return 2;
    };
    let (mut deployment, report, clients) = started;
    for n in running..running + ADDED {
        let turned_away_at = Instant::now();
        let turned_away = Arc::clone(&deployment.store.turned_away);
        if has_trouble {
            turned_away.lock().unwrap().insert(n + 1);
            record.line(&format!("the store answers 503 to the machine of server {}", n + 1));
        }
        deployment.start_servers(n..n + 1);
        deployment.start_agent(n);
        record.line(&format!("server {} is added, with its agent", n + 1));
        sleep(Duration::from_secs(1));
        if has_trouble {
            let took = deployment.stop_front().as_secs_f64();
            sleep(Duration::from_millis(500));
            deployment.front_number = 1 - deployment.front_number;
            deployment.start_front();
            let ip = deployment.front_ips[deployment.front_number];
            record.line(&format!(
                "the front ended {took:.1} s after SIGTERM; another one at {ip} was added 0.5 s later"
            ));
        } else {
            sleep(Duration::from_millis(5_800));
        }
        sleep(Duration::from_millis(8_900).saturating_sub(turned_away_at.elapsed()));
        turned_away.lock().unwrap().remove(&(n + 1));
        if has_trouble {
            let lasted = turned_away_at.elapsed().as_secs_f64();
            record.line(&format!("the store serves all machines again, after {lasted:.1} s"));
        }
        // Longer than an agent remembers a front that is gone.
        sleep(Duration::from_secs(21));
        if note(&report, record) >= 3 {
            break;
        }
    }
    judge(Part::Resets, deployment, &report, clients, record)
}

/// A process that is stopped and started again, in turn with others.
enum Turn {
    Running { until: Instant },
    Stopping { since: Instant },
    Down { until: Instant },
}

/// Fronts and side machines are stopped and started in turn, each kind one machine at a time: SIGTERM,
/// the next start soon after the process has ended, and a pause before the next machine's turn.
fn rolling_machines(dir: &Path, has_trouble: bool, record: &mut Record) -> u8 {
    const PAUSE: Duration = Duration::from_secs(2);
    const GRACE: Duration = Duration::from_secs(6);
    let down = [Duration::from_millis(500), Duration::from_millis(1_500)];
    let sides = [("north", "desk"), ("north", "desk"), ("south", "desk"), ("south", "desk"), ("south", "desk")];
    let Some(started) = start(dir, &sides, sides.len(), (35, 45), record) else {
        return 2;
    };
    let (mut deployment, report, clients) = started;
    let end = Instant::now() + Duration::from_secs(92);
    let mut noted = Instant::now();
    // The front's turn and the side machines'.
    let mut turns = [
        Turn::Running { until: Instant::now() },
        Turn::Running { until: Instant::now() + Duration::from_secs(1) },
    ];
    let mut side = 0;
    while Instant::now() < end {
        sleep(Duration::from_millis(10));
        let now = Instant::now();
        for (n, turn) in turns.iter_mut().enumerate().filter(|_| has_trouble) {
            let child = match n {
                0 => &mut deployment.front,
                _ => &mut deployment.agents[side],
            };
            match *turn {
                Turn::Running { until } if now >= until => {
                    if let Some(child) = child {
                        deployment::signal(child, "TERM");
                    }
                    *turn = Turn::Stopping { since: now };
                }
                Turn::Stopping { since } => {
                    let Some(process) = child else { continue };
                    if now.duration_since(since) >= GRACE {
                        let _ = process.kill();
                    }
                    if matches!(process.try_wait(), Ok(Some(_))) {
                        *child = None;
                        *turn = Turn::Down { until: now + down[n] };
                    }
                }
                Turn::Down { until } if now >= until => {
                    if n == 0 {
                        deployment.start_front();
                        record.line("the front is started again");
                    } else {
                        deployment.start_agent(side);
                        let name = &deployment.sides[side].name;
                        record.line(&format!("the agent of {name} is started again"));
                        side = (side + 1) % sides.len();
                    }
                    *turn = Turn::Running { until: now + PAUSE };
                }
                _ => {}
            }
        }
        if noted.elapsed() >= Duration::from_secs(15) {
            noted = Instant::now();
            note(&report, record);
        }
    }
    judge(Part::Strayed, deployment, &report, clients, record)
}

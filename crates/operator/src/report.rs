//! Text form of a status, with one topic per line.

use std::collections::BTreeMap;
use std::fmt::{self, Formatter};

use citronhollow_core::clock::Millis;
use citronhollow_core::members::TargetState;

use crate::status::{
    BalancerState, DrainStatus, FleetStatus, PublishStatus, Status, TargetStatus, TrafficStatus,
};

impl fmt::Display for Status {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            balancer,
            domain,
            version,
            ..
        } = self;
        let uptime = HumanDuration(self.uptime_ms);
        writeln!(
            f,
            "balancer   {balancer} in {domain}, version {version}, up {uptime}"
        )?;
        write_revision(f, &self.fleet, &self.publish)?;
        write_platform(f, &self.publish)?;
        write_members(f, &self.fleet)?;
        write_drains(f, &self.fleet)?;
        write_traffic(f, &self.traffic)
    }
}

fn write_revision(
    f: &mut Formatter<'_>,
    fleet: &FleetStatus,
    publish: &PublishStatus,
) -> fmt::Result {
    write!(f, "revision   {} in force here", fleet.revision)?;
    if let Some(published) = publish.published {
        write!(f, ", {published} published")?;
    }
    writeln!(f)?;
    for (revision, reporters) in reporters_by_revision(fleet) {
        let Reporters { balancers, targets } = reporters;
        writeln!(
            f,
            "           {revision}: {balancers} balancers, {targets} targets"
        )?;
    }
    for draft in &publish.rejected {
        writeln!(f, "rejected   {} {}", draft.kind, draft.name)?;
        for problem in &draft.problems {
            writeln!(f, "           {problem}")?;
        }
    }
    Ok(())
}

fn write_platform(f: &mut Formatter<'_>, publish: &PublishStatus) -> fmt::Result {
    match &publish.publisher {
        Some(name) => writeln!(f, "publisher  {name}, epoch {}", publish.epoch)?,
        None => writeln!(f, "publisher  not known")?,
    }
    let platform = &publish.platform;
    let state = if platform.reachable {
        "reachable"
    } else {
        "DOWN"
    };
    let (calls, retries) = (platform.calls, platform.retries);
    write!(f, "platform   {state}, {calls} calls, {retries} repeated")?;
    if let Some(age) = platform.last_answer_ms {
        write!(f, ", last answer {} ago", HumanDuration(age))?;
    }
    writeln!(f)?;
    match &platform.last_error {
        Some(error) if !platform.reachable => writeln!(f, "           {error}"),
        _ => Ok(()),
    }
}

fn write_members(f: &mut Formatter<'_>, fleet: &FleetStatus) -> fmt::Result {
    let balancers = |state| fleet.balancers.iter().filter(|b| b.state == state).count();
    let alive = balancers(BalancerState::Alive);
    let leaving = balancers(BalancerState::Leaving);
    let suspect = balancers(BalancerState::Suspect);
    writeln!(
        f,
        "balancers  {alive} alive, {leaving} leaving, {suspect} suspect"
    )?;
    let targets = |state| {
        let of_state = |t: &&TargetStatus| t.state == state && !t.is_suspect;
        fleet.targets.iter().filter(of_state).count()
    };
    let ready = targets(TargetState::Ready);
    let starting = targets(TargetState::Starting);
    let draining = targets(TargetState::Draining);
    let dead = targets(TargetState::Dead);
    let suspect = fleet.targets.iter().filter(|t| t.is_suspect).count();
    write!(
        f,
        "targets    {ready} ready, {starting} starting, {draining} draining, "
    )?;
    writeln!(f, "{suspect} suspect, {dead} dead")?;
    if fleet.is_isolated {
        writeln!(
            f,
            "isolated   this balancer receives no messages from any other process"
        )?;
    }
    if fleet.is_leaving {
        writeln!(f, "leaving    this balancer is about to stop")?;
    }
    match fleet.refused_frames {
        0 => Ok(()),
        frames => writeln!(f, "refused    {frames} frames from other processes"),
    }
}

fn write_drains(f: &mut Formatter<'_>, fleet: &FleetStatus) -> fmt::Result {
    for drain in &fleet.drains {
        writeln!(f, "drain      {drain}")?;
    }
    Ok(())
}

impl fmt::Display for DrainStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            Some(TargetState::Starting) => "starting",
            Some(TargetState::Ready) => "ready",
            Some(TargetState::Draining) => "draining",
            Some(TargetState::Dead) => "dead",
            None => "gone",
        };
        write!(f, "{}: {state}", self.target)?;
        match self.open {
            Some(open) => write!(f, ", {open} flows left"),
            None => write!(f, ", flows not known"),
        }
    }
}

fn write_traffic(f: &mut Formatter<'_>, traffic: &TrafficStatus) -> fmt::Result {
    let TrafficStatus {
        packets,
        forwarded,
        malformed,
        refused,
    } = traffic;
    writeln!(
        f,
        "packets    {packets} taken, {forwarded} forwarded, {malformed} malformed"
    )?;
    for refusal in refused {
        writeln!(f, "refused    {}, because {}", refusal.count, refusal.kind)?;
    }
    Ok(())
}

/// Number of members that have reported one revision.
#[derive(Clone, Copy, Debug, Default)]
struct Reporters {
    balancers: usize,
    targets: usize,
}

/// Number of members for each reported revision, the highest revision first.
fn reporters_by_revision(fleet: &FleetStatus) -> impl Iterator<Item = (u64, Reporters)> {
    let mut by_revision: BTreeMap<u64, Reporters> = BTreeMap::new();
    for revision in fleet.balancers.iter().filter_map(|b| b.revision) {
        by_revision.entry(revision).or_default().balancers += 1;
    }
    for revision in fleet.targets.iter().filter_map(|t| t.revision) {
        by_revision.entry(revision).or_default().targets += 1;
    }
    by_revision.into_iter().rev()
}

/// Duration that is displayed in its two largest units.
struct HumanDuration(Millis);

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ms = self.0.0;
        let secs = ms / 1_000;
        let (mins, hours, days) = (secs / 60, secs / 3_600, secs / 86_400);
        match secs {
            0..60 => write!(f, "{secs}.{} s", ms % 1_000 / 100),
            60..3_600 => write!(f, "{mins} min {} s", secs % 60),
            3_600..86_400 => write!(f, "{hours} h {} min", mins % 60),
            _ => write!(f, "{days} d {} h", hours % 24),
        }
    }
}

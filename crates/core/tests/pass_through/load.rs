//! Distribution of new flows over targets under the load patterns of a working day.
//!
//! Each case names its pattern. Spill is late for downloads, normal for board sessions and early
//! for confirmations. Targets keep the flows that they are given, and their reports reach the
//! balancer four times a second, as in the real processes.

use citronhollow_core::clock::Millis;
use citronhollow_core::config::Spill;
use citronhollow_core::pass_through::{Balancer, BalancerAction, Report};

use crate::fixture::{Bytes, balancer, domain, flow, packet, report, revision, syn};

const START: Millis = Millis(1_000);
/// Time between two reports of a target, in ms.
const REPORT_INTERVAL: u64 = 250;

/// Fleet of targets whose flows all bring the same load.
struct Fleet {
    balancer: Balancer<Bytes>,
    targets: Vec<Report>,
    now: Millis,
    flows: u16,
}

impl Fleet {
    /// Creates one target per entry of `domains`. The balancer is in domain 0.
    fn new(domains: &[u16], spill: Spill) -> Self {
        let mut fleet = Self {
            balancer: balancer(START),
            targets: (1..)
                .zip(domains)
                .map(|(number, in_domain)| {
                    let mut target = report(number, 0);
                    target.domain = domain(*in_domain);
                    target
                })
                .collect(),
            now: START,
            flows: 0,
        };
        let mut next = revision(2);
        next.documents.services[0].spill = spill;
        fleet.balancer.set_revision(&next);
        fleet.report(100);
        fleet
    }

    /// Lets every target report `flow_milli` requests in progress per flow, in thousandths.
    fn report(&mut self, flow_milli: u32) {
        self.now = self.now.after(Millis(REPORT_INTERVAL));
        for target in &mut self.targets {
            target.sequence += 1;
            target.mean_busy_milli = target.flows * flow_milli;
            target.busy = target.mean_busy_milli / 1_000;
            self.balancer.on_report(self.now, *target);
        }
    }

    /// Opens flows between two reports.
    fn open(&mut self, count: u16) {
        for _ in 0..count {
            self.flows += 1;
            let mut out = Vec::new();
            let packet = packet(flow(self.flows), syn());
            self.balancer.on_packet(self.now, packet, 0, &mut out);
            let [BalancerAction::Forward { to, .. }] = out[..] else {
                panic!("{out:?}");
            };
            let target = self.targets.iter_mut().find(|target| target.agent == to);
            target.expect("a target of the fleet").flows += 1;
        }
    }

    /// Opens flows in small groups with reports in between.
    fn open_slowly(&mut self, count: u16, flow_milli: u32) {
        for _ in 0..count / 4 {
            self.open(4);
            self.report(flow_milli);
        }
    }

    fn flows(&self) -> Vec<u32> {
        self.targets.iter().map(|target| target.flows).collect()
    }

    /// Largest number of flows at a target, in percent of the mean.
    fn busiest_percent(&self) -> u32 {
        let flows = self.flows();
        let (sum, max) = (flows.iter().sum::<u32>(), flows.iter().max().copied());
        max.unwrap_or(0) * 100 * u32::try_from(flows.len()).unwrap_or(1) / sum.max(1)
    }
}

cases! {
    sessions_opened_gradually_spread_evenly => {
        let mut fleet = Fleet::new(&[0; 7], Spill::Normal);
        fleet.open_slowly(280, 20);
        assert!(fleet.busiest_percent() <= 110, "{:?}", fleet.flows());
    };

    callers_that_reconnect_at_once_spread_evenly => {
        let mut fleet = Fleet::new(&[0; 7], Spill::Normal);
        fleet.open(280);
        assert!(fleet.busiest_percent() <= 110, "{:?}", fleet.flows());
    };

    empty_target_fills_gradually => {
        let mut fleet = Fleet::new(&[0; 7], Spill::Normal);
        fleet.open_slowly(280, 20);
        fleet.targets[3].flows = 0;
        fleet.report(20);
        fleet.open(12);
        let flows = fleet.targets[3].flows;
        assert!((6..=12).contains(&flows), "{:?}", fleet.flows());
    };

    cold_target_gets_fewer_flows => {
        let mut fleet = Fleet::new(&[0; 4], Spill::Normal);
        fleet.targets[0].cold_left = Millis::from_secs(60);
        fleet.report(20);
        fleet.open_slowly(160, 20);
        let flows = fleet.flows();
        assert!(flows[0] < flows[1], "{flows:?}");
        assert!(flows[0] > 0, "{flows:?}");
    };

    late_spill_stays_in_its_domain_while_it_has_capacity => {
        let mut fleet = Fleet::new(&[0, 1, 1, 1], Spill::Late);
        fleet.open_slowly(40, 40);
        assert_eq!(fleet.flows(), [40, 0, 0, 0]);
    };

    normal_spill_leaves_a_domain_that_is_clearly_busier => {
        let mut fleet = Fleet::new(&[0, 1, 1, 1], Spill::Normal);
        fleet.open_slowly(80, 40);
        let flows = fleet.flows();
        assert!(flows[0] > flows[1], "the local domain comes first: {flows:?}");
        let per_target = flows.iter().skip(1).sum::<u32>() / 3;
        assert!(per_target >= 10, "remote domains take a part: {flows:?}");
    };

    early_spill_uses_the_whole_fleet => {
        let mut fleet = Fleet::new(&[0, 1, 1, 1], Spill::Early);
        fleet.open_slowly(160, 20);
        assert!(fleet.busiest_percent() <= 130, "{:?}", fleet.flows());
    };

    busy_flows_count_more_than_idle_ones => {
        let mut fleet = Fleet::new(&[0; 2], Spill::Normal);
        fleet.targets[0].flows = 10;
        fleet.targets[1].flows = 10;
        fleet.report(20);
        fleet.targets[0].mean_busy_milli = 1_500;
        fleet.targets[0].sequence += 1;
        fleet.balancer.on_report(fleet.now, fleet.targets[0]);
        fleet.open(4);
        assert_eq!(fleet.targets[1].flows, 14, "{:?}", fleet.flows());
    };

    larger_target_gets_more_flows => {
        let mut fleet = Fleet::new(&[0; 2], Spill::Normal);
        fleet.targets[0].slots = 8;
        fleet.report(20);
        fleet.open_slowly(100, 20);
        let flows = fleet.flows();
        assert!(flows[0] >= 3 * flows[1], "{flows:?}");
    };

    // Servers that fail part of their requests complete them quickly and look idle.
    target_that_fails_fast_attracts_no_flows => {
        let mut fleet = Fleet::new(&[0; 5], Spill::Normal);
        fleet.open_slowly(100, 20);
        fleet.targets[0].failing_milli = 450;
        fleet.targets[0].flows = 0;
        fleet.report(20);
        fleet.open_slowly(60, 20);
        let flows = fleet.flows();
        assert!(flows[0] <= 4, "an even share would be 12: {flows:?}");
    };

    failing_target_is_used_where_the_others_are_full => {
        let mut fleet = Fleet::new(&[0; 2], Spill::Normal);
        fleet.targets[0].failing_milli = 450;
        fleet.report(20);
        fleet.open_slowly(300, 20);
        let flows = fleet.flows();
        assert!(flows[0] > 0, "{flows:?}");
        assert!(flows[0] < flows[1], "{flows:?}");
    };

    pool_in_which_all_targets_fail_uses_all_of_them => {
        let mut fleet = Fleet::new(&[0; 5], Spill::Normal);
        for target in &mut fleet.targets {
            target.failing_milli = 450;
        }
        fleet.report(20);
        fleet.open_slowly(100, 20);
        assert!(fleet.busiest_percent() <= 120, "{:?}", fleet.flows());
    };

    single_failures_change_nothing => {
        let mut fleet = Fleet::new(&[0; 5], Spill::Normal);
        fleet.targets[0].failing_milli = 90;
        fleet.report(20);
        fleet.open_slowly(100, 20);
        assert!(fleet.busiest_percent() <= 110, "{:?}", fleet.flows());
    };

    recovered_target_gets_its_share_gradually => {
        let mut fleet = Fleet::new(&[0; 5], Spill::Normal);
        fleet.targets[0].failing_milli = 450;
        fleet.report(20);
        fleet.open_slowly(100, 20);
        fleet.targets[0].failing_milli = 0;
        fleet.report(20);
        fleet.open(12);
        let flows = fleet.flows();
        assert!((6..=12).contains(&flows[0]), "{flows:?}");
    };
}

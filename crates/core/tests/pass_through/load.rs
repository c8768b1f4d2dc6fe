//! Where new flows go under the loads of the users' days.
//!
//! Each case names its pattern. Targets hold what they were given, and their reports reach the
//! balancers four times a second, as in the real processes.

use citronhollow_core::clock::Millis;
use citronhollow_core::config::Spill;
use citronhollow_core::pass_through::{Balancer, BalancerAction, Report};

use crate::fixture::{Bytes, balancer, domain, flow, packet, report, revision, syn};

const START: Millis = Millis(1_000);
const REPORT_INTERVAL: u64 = 250;

/// A fleet of targets with flows that all bring the same work.
struct Site {
    balancer: Balancer<Bytes>,
    targets: Vec<Report>,
    now: Millis,
    flows: u16,
}

impl Site {
    /// Targets by domain, seen by a balancer of domain 0.
    fn new(domains: &[u16], spill: Spill) -> Self {
        let mut site = Self {
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
        site.balancer.set_revision(&next);
        site.report(100);
        site
    }

    /// Every target reports, with this much work for each flow, in thousandths of a request.
    fn report(&mut self, flow_milli: u32) {
        self.now = self.now.after(Millis(REPORT_INTERVAL));
        for target in &mut self.targets {
            target.sequence += 1;
            target.mean_busy_milli = target.flows * flow_milli;
            target.busy = target.mean_busy_milli / 1_000;
            self.balancer.on_report(self.now, *target);
        }
    }

    /// Opens flows, all between two reports.
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
            target.expect("a target of the site").flows += 1;
        }
    }

    /// Opens flows in small groups with reports between them.
    fn open_slowly(&mut self, count: u16, flow_milli: u32) {
        for _ in 0..count / 4 {
            self.open(4);
            self.report(flow_milli);
        }
    }

    fn flows(&self) -> Vec<u32> {
        self.targets.iter().map(|target| target.flows).collect()
    }

    /// Largest number of flows as percent of the mean.
    fn busiest_percent(&self) -> u32 {
        let flows = self.flows();
        let (sum, max) = (flows.iter().sum::<u32>(), flows.iter().max().copied());
        max.unwrap_or(0) * 100 * u32::try_from(flows.len()).unwrap_or(1) / sum.max(1)
    }
}

cases! {
    sessions_that_open_over_the_morning_spread_evenly => {
        let mut site = Site::new(&[0; 7], Spill::Normal);
        site.open_slowly(280, 20);
        assert!(site.busiest_percent() <= 110, "{:?}", site.flows());
    };

    callers_that_come_back_at_once_do_not_meet_at_one_target => {
        let mut site = Site::new(&[0; 7], Spill::Normal);
        site.open(280);
        assert!(site.busiest_percent() <= 110, "{:?}", site.flows());
    };

    empty_target_fills_without_a_flood => {
        let mut site = Site::new(&[0; 7], Spill::Normal);
        site.open_slowly(280, 20);
        site.targets[3].flows = 0;
        site.report(20);
        site.open(12);
        let flows = site.targets[3].flows;
        assert!((6..=12).contains(&flows), "{:?}", site.flows());
    };

    cold_target_gets_fewer_flows => {
        let mut site = Site::new(&[0; 4], Spill::Normal);
        site.targets[0].cold_left = Millis::from_secs(60);
        site.report(20);
        site.open_slowly(160, 20);
        let flows = site.flows();
        assert!(flows[0] < flows[1], "{flows:?}");
        assert!(flows[0] > 0, "{flows:?}");
    };

    downloads_stay_in_their_domain_while_it_has_room => {
        let mut site = Site::new(&[0, 1, 1, 1], Spill::Late);
        site.open_slowly(40, 40);
        assert_eq!(site.flows(), [40, 0, 0, 0]);
    };

    board_sessions_leave_a_domain_that_is_clearly_busier => {
        let mut site = Site::new(&[0, 1, 1, 1], Spill::Normal);
        site.open_slowly(80, 40);
        let flows = site.flows();
        assert!(flows[0] > flows[1], "its own domain comes first: {flows:?}");
        let per_target = flows.iter().skip(1).sum::<u32>() / 3;
        assert!(per_target >= 10, "and has help: {flows:?}");
    };

    confirmations_use_the_whole_fleet => {
        let mut site = Site::new(&[0, 1, 1, 1], Spill::Early);
        site.open_slowly(160, 20);
        assert!(site.busiest_percent() <= 130, "{:?}", site.flows());
    };

    busy_flows_count_for_more_than_idle_ones => {
        let mut site = Site::new(&[0; 2], Spill::Normal);
        site.targets[0].flows = 10;
        site.targets[1].flows = 10;
        site.report(20);
        site.targets[0].mean_busy_milli = 1_500;
        site.targets[0].sequence += 1;
        site.balancer.on_report(site.now, site.targets[0]);
        site.open(4);
        assert_eq!(site.targets[1].flows, 14, "{:?}", site.flows());
    };

    larger_target_gets_more_flows => {
        let mut site = Site::new(&[0; 2], Spill::Normal);
        site.targets[0].slots = 8;
        site.report(20);
        site.open_slowly(100, 20);
        let flows = site.flows();
        assert!(flows[0] >= 3 * flows[1], "{flows:?}");
    };

    // Servers that fail a part of their requests are soon done with them and look idle.
    target_that_fails_fast_attracts_no_flows => {
        let mut site = Site::new(&[0; 5], Spill::Normal);
        site.open_slowly(100, 20);
        site.targets[0].failing_milli = 450;
        site.targets[0].flows = 0;
        site.report(20);
        site.open_slowly(60, 20);
        let flows = site.flows();
        assert!(flows[0] <= 4, "a fifth would be 12: {flows:?}");
    };

    failing_target_helps_where_the_others_are_full => {
        let mut site = Site::new(&[0; 2], Spill::Normal);
        site.targets[0].failing_milli = 450;
        site.report(20);
        site.open_slowly(300, 20);
        let flows = site.flows();
        assert!(flows[0] > 0, "{flows:?}");
        assert!(flows[0] < flows[1], "{flows:?}");
    };

    pool_that_fails_as_a_whole_is_served_by_all => {
        let mut site = Site::new(&[0; 5], Spill::Normal);
        for target in &mut site.targets {
            target.failing_milli = 450;
        }
        site.report(20);
        site.open_slowly(100, 20);
        assert!(site.busiest_percent() <= 120, "{:?}", site.flows());
    };

    single_failures_change_nothing => {
        let mut site = Site::new(&[0; 5], Spill::Normal);
        site.targets[0].failing_milli = 90;
        site.report(20);
        site.open_slowly(100, 20);
        assert!(site.busiest_percent() <= 110, "{:?}", site.flows());
    };

    target_that_recovers_gets_its_share_without_a_flood => {
        let mut site = Site::new(&[0; 5], Spill::Normal);
        site.targets[0].failing_milli = 450;
        site.report(20);
        site.open_slowly(100, 20);
        site.targets[0].failing_milli = 0;
        site.report(20);
        site.open(12);
        let flows = site.flows();
        assert!((6..=12).contains(&flows[0]), "{flows:?}");
    };
}

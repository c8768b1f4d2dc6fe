//! Which balancers are known, advertised to others and removed.

use citronhollow_core::clock::Millis;
use citronhollow_core::pass_through::Contacts;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::{balancer_addr, domain};

const START: Millis = Millis(1_000);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

cases! {
    balancer_is_new_only_once => {
        let mut contacts = Contacts::default();
        assert!(contacts.on_advertised(START, balancer_addr(1)));
        assert!(!contacts.on_advertised(START, balancer_addr(1)));
        assert!(!contacts.on_message(START, balancer_addr(1)));
        assert!(contacts.on_message(START, balancer_addr(2)));
    };

    only_active_balancers_are_advertised => {
        let mut contacts = Contacts::default();
        contacts.on_advertised(START, balancer_addr(1));
        contacts.on_message(START, balancer_addr(2));
        assert_eq!(contacts.sample_active(START, 8, &mut rng()), [balancer_addr(2)]);
        let later = START.after(Millis::from_secs(4));
        contacts.on_advertised(later, balancer_addr(2));
        assert!(contacts.sample_active(later, 8, &mut rng()).is_empty());
    };

    balancer_is_local_until_its_hello_from_another_domain => {
        let mut contacts = Contacts::default();
        contacts.on_advertised(START, balancer_addr(1));
        contacts.on_hello(START, balancer_addr(2), domain(0));
        contacts.on_hello(START, balancer_addr(3), domain(1));
        contacts.on_message(START, balancer_addr(3));
        let mut local: Vec<_> = contacts.local(domain(0)).collect();
        local.sort_unstable();
        assert_eq!(local, [balancer_addr(1), balancer_addr(2)]);
    };

    sample_is_bounded => {
        let mut contacts = Contacts::default();
        for number in 0..100 {
            contacts.on_message(START, balancer_addr(number));
        }
        assert_eq!(contacts.sample(16, &mut rng()).len(), 16);
        assert_eq!(contacts.sample_active(START, 4, &mut rng()).len(), 4);
    };

    reports_to_remote_balancers_become_rarer_with_their_number => {
        let every = |local: u16, remote: u16| {
            let mut contacts = Contacts::default();
            for number in 0..local {
                contacts.on_hello(START, balancer_addr(number), domain(0));
            }
            for number in 0..remote {
                contacts.on_hello(START, balancer_addr(1_000 + number), domain(1));
            }
            contacts.local_reports_per_remote_report(domain(0))
        };
        assert_eq!(every(0, 0), 2);
        assert_eq!(every(100, 16), 2, "16 remote balancers are reported to at the highest rate");
        assert_eq!(every(1, 32), 4);
        assert_eq!(every(1, 64), 8);
        assert_eq!(every(1, 500), 8, "the maximum");
    };

    inactive_balancer_is_removed => {
        let mut contacts = Contacts::default();
        contacts.on_message(START, balancer_addr(1));
        contacts.remove_inactive(START.after(Millis::from_secs(19)));
        assert_eq!(contacts.len(), 1);
        contacts.on_advertised(START.after(Millis::from_secs(19)), balancer_addr(1));
        contacts.remove_inactive(START.after(Millis::from_secs(30)));
        assert_eq!(contacts.len(), 1, "it was advertised in between");
        contacts.remove_inactive(START.after(Millis::from_secs(39)));
        assert!(contacts.is_empty());
    };
}

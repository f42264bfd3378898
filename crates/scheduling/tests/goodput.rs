//! Goodput, which is answers inside their objective a second, at one, two and three times the load that slots bear.

mod replay;

use replay::{Kind, Load, Replay};

/// A lookup on which a person waits.
const LOOKUP: Kind =
    Kind { name: "lookup", service: 0, rank: 0, work: 140, objective: 400, deadline: 1_000, call: None };
/// An order at the same service.
const ORDER: Kind =
    Kind { name: "order", service: 0, rank: 1, work: 140, objective: 400, deadline: 1_000, call: None };

/// Slots of each service.
const SLOTS: f64 = 32.0;

/// Share of its goodput at the load that slots bear which a service keeps under overload.
const KEPT_SHARE: f64 = 0.95;

#[test]
fn goodput_holds_under_overload_and_the_urgent_kind_is_served_first() {
    let measure = |load: f64| {
        let each = load * SLOTS / 0.140 / 2.0;
        let loads = [Load { kind: &LOOKUP, per_second: each }, Load { kind: &ORDER, per_second: each }];
        let replay = Replay::run(&[SLOTS as u32], &loads);
        println!("{load} times the load: {replay}");
        replay
    };
    let base = measure(1.0);
    for load in [2.0, 3.0] {
        let over = measure(load);
        assert!(over.goodput() >= KEPT_SHARE * base.goodput(), "{load} times: {over}, not {base}");
        let (lookup, order) = (over.served_share("lookup"), over.served_share("order"));
        assert!(lookup >= order, "{load} times: {over}");
    }
}

//! Orders to engines and to the platform.

use std::collections::BTreeMap;

use bluebell_core::ids::LogOffset;
use bluebell_endpoint::api::EngineOrder;
use standin_engine::history::EngineEvent;
use standin_platform::history::{EndpointOrder, OrderSeen};

use super::{Promise, Violation};

/// An engine receives no order while another is under way, nor two different
/// orders under one id.
pub fn one_order_at_a_time(events: &[EngineEvent]) -> Vec<Violation> {
    let mut bodies: BTreeMap<&str, &EngineOrder> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        let EngineEvent::Order {
            order, conflicting, ..
        } = event
        else {
            continue;
        };
        if *conflicting {
            let detail = format!("`{}` came while another was under way", order.order);
            violations.push(Violation::new(Promise::OneOrderAtATime, detail));
        }
        let first = bodies.entry(order.order.as_str()).or_insert(order);
        if first.body != order.body {
            let detail = format!("`{}` came with two contents", order.order);
            violations.push(Violation::new(Promise::OneOrderAtATime, detail));
        }
    }
    violations
}

/// No order to an engine takes effect after one with a greater fencing number.
pub fn no_stale_engine_effect(events: &[EngineEvent]) -> Vec<Violation> {
    let mut greatest = LogOffset::START;
    let mut violations = Vec::new();
    for event in events {
        let EngineEvent::Order { order, effect, .. } = event else {
            continue;
        };
        if *effect && order.fence < greatest {
            let detail = format!("`{}` of {} after {greatest}", order.order, order.fence);
            violations.push(Violation::new(Promise::NoStaleEffect, detail));
        }
        greatest = greatest.max(order.fence);
    }
    violations
}

/// No order that took effect cut work that the engine was running.
pub fn no_planned_cut(events: &[EngineEvent]) -> Vec<Violation> {
    let cut = |event: &EngineEvent| match event {
        EngineEvent::Order {
            order, cut: 1.., ..
        } => Some(format!("`{}` cut running work", order.order)),
        _ => None,
    };
    let details = events.iter().filter_map(cut);
    details
        .map(|detail| Violation::new(Promise::NoPlannedCut, detail))
        .collect()
}

/// The platform's endpoint orders come from one holder at a time: fencing
/// numbers never go back, and each belongs to one sender.
pub fn one_fleet_holder(orders: &[OrderSeen]) -> Vec<Violation> {
    let mut greatest = LogOffset::START;
    let mut senders = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in orders {
        let fence = match &seen.order {
            EndpointOrder::Start(order) => order.fence,
            EndpointOrder::Stop(order) => order.fence,
        };
        if fence < greatest {
            let detail = format!("an order of {fence} came after one of {greatest}");
            violations.push(Violation::new(Promise::OneFleetHolder, detail));
        }
        greatest = greatest.max(fence);
        let sender = senders.entry(fence).or_insert(&seen.sender);
        if **sender != seen.sender {
            let detail = format!("two senders ordered under {fence}");
            violations.push(Violation::new(Promise::OneFleetHolder, detail));
        }
    }
    violations
}

//! The receivers of orders: engines, the endpoint interface, the usage intake.

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, LogOffset, OrderId},
    orders::{EngineView, ObservedEffect, SendAnswer},
    records::{OrderBody, UsageWindow},
};
use bluebell_daemon::logs::LogLine;
use bluebell_endpoint::{
    api::{EngineOrder, EngineStatus},
    orders::EngineOrderError,
};
use bluebell_platform::{
    PlatformError,
    api::{EndpointState, StartEndpoint, StopEndpoint, UsageReport},
};

use crate::context::DutyContext;

/// Sends `body` once.
pub async fn send(
    context: &DutyContext,
    order: &OrderId,
    fence: LogOffset,
    body: &OrderBody,
) -> SendAnswer {
    let limit = context.settings.orders.timeout.as_duration();
    let sending = send_body(context, order, fence, body);
    tokio::time::timeout(limit, sending)
        .await
        .unwrap_or(SendAnswer::Unknown)
}

async fn send_body(
    context: &DutyContext,
    order: &OrderId,
    fence: LogOffset,
    body: &OrderBody,
) -> SendAnswer {
    match body {
        OrderBody::SetRole { endpoint, .. } | OrderBody::LoadModel { endpoint, .. } => {
            let order = EngineOrder {
                order: order.clone(),
                fence,
                body: body.clone(),
            };
            send_engine(context, endpoint, &order).await
        }
        OrderBody::StartEndpoint {
            failure_domain,
            capacity,
            service,
        } => {
            let start = StartEndpoint {
                order: order.clone(),
                fence,
                failure_domain: failure_domain.clone(),
                capacity: *capacity,
                service: service.clone(),
            };
            let answer = context.node.platform().start_endpoint(&start).await;
            match platform_answer(&answer.map(drop)) {
                // None to be had: the next plan decides what to do instead.
                SendAnswer::Unavailable => SendAnswer::Refused,
                answer => answer,
            }
        }
        OrderBody::StopEndpoint { endpoint } => {
            let stop = StopEndpoint {
                order: order.clone(),
                fence,
                endpoint: endpoint.clone(),
            };
            platform_answer(&context.node.platform().stop_endpoint(&stop).await)
        }
        OrderBody::ReportUsage { window } => {
            let Some(report) = usage_report(context, *window, fence) else {
                return SendAnswer::Refused;
            };
            platform_answer(&context.node.platform().report_usage(&report).await)
        }
    }
}

async fn send_engine(
    context: &DutyContext,
    endpoint: &EndpointId,
    order: &EngineOrder,
) -> SendAnswer {
    let Some(listing) = context.directory.listing(endpoint) else {
        return SendAnswer::Unavailable;
    };
    match context.engines.order(&listing.address, order).await {
        Ok(_) => SendAnswer::Accepted,
        Err(EngineOrderError::NotSent(_) | EngineOrderError::Busy) => SendAnswer::Unavailable,
        Err(EngineOrderError::Unknown(_)) => SendAnswer::Unknown,
        Err(EngineOrderError::Stale(_)) => SendAnswer::Stale,
        Err(EngineOrderError::Refused { .. }) => SendAnswer::Refused,
    }
}

fn platform_answer(answer: &Result<(), PlatformError>) -> SendAnswer {
    match answer {
        Ok(()) => SendAnswer::Done,
        Err(PlatformError::NotSent(_) | PlatformError::Unavailable { .. }) => {
            SendAnswer::Unavailable
        }
        Err(PlatformError::Unknown(_)) => SendAnswer::Unknown,
        Err(PlatformError::Refused { status: 409, .. }) => SendAnswer::Stale,
        Err(PlatformError::Refused { .. }) => SendAnswer::Refused,
    }
}

fn usage_report(
    context: &DutyContext,
    window: UsageWindow,
    fence: LogOffset,
) -> Option<UsageReport> {
    let lines = context
        .node
        .with_view(|view| view.usage.frozen(window).cloned())?;
    Some(UsageReport {
        window,
        fence,
        reporter: context.node.settings().instance.clone(),
        lines,
    })
}

/// Looks at what can be seen of the effect of `body`.
pub async fn observe(context: &DutyContext, body: &OrderBody) -> ObservedEffect {
    match body {
        OrderBody::SetRole { endpoint, .. } | OrderBody::LoadModel { endpoint, .. } => {
            observe_engine(context, endpoint).await
        }
        OrderBody::StopEndpoint { endpoint } => {
            let asked_at = context.now();
            context.directory.refresh(&context.node).await;
            observe_listing(context, endpoint, asked_at)
        }
        // The list does not say which order an endpoint came from. The platform
        // takes a second sending under the same id as a repeat.
        OrderBody::StartEndpoint { .. } => ObservedEffect::Absent,
        OrderBody::ReportUsage { window } => observe_report(context, *window).await,
    }
}

fn observe_listing(
    context: &DutyContext,
    endpoint: &EndpointId,
    asked_at: ClockTime,
) -> ObservedEffect {
    if context.directory.asked_at().is_none_or(|at| at < asked_at) {
        return ObservedEffect::Unreachable;
    }
    let listing = context.directory.listing(endpoint);
    match listing.is_none_or(|listing| listing.state == EndpointState::Gone) {
        true => ObservedEffect::Removed,
        false => ObservedEffect::Absent,
    }
}

async fn observe_engine(context: &DutyContext, endpoint: &EndpointId) -> ObservedEffect {
    let Some(listing) = context.directory.listing(endpoint) else {
        return match context.directory.asked_at() {
            Some(_) => ObservedEffect::Removed,
            None => ObservedEffect::Unreachable,
        };
    };
    if listing.state == EndpointState::Gone {
        return ObservedEffect::Removed;
    }
    match context.engines.status(&listing.address).await {
        Ok(status) => ObservedEffect::Engine(engine_view(status)),
        Err(_) => ObservedEffect::Unreachable,
    }
}

fn engine_view(status: EngineStatus) -> EngineView {
    EngineView {
        incarnation: status.incarnation,
        role: status.role,
        model: status.model,
        changing: status.changing,
        last_order: status.last_order,
    }
}

async fn observe_report(context: &DutyContext, window: UsageWindow) -> ObservedEffect {
    let Ok(reports) = context.node.platform().usage_reports().await else {
        return ObservedEffect::Unreachable;
    };
    let Some(report) = reports.iter().find(|report| report.window == window) else {
        return ObservedEffect::Absent;
    };
    let same = context
        .node
        .with_view(|view| view.usage.frozen(window) == Some(&report.lines));
    if !same {
        LogLine::new("report_differs")
            .with("window", window)
            .with("reporter", &report.reporter)
            .warn();
        return ObservedEffect::Conflicting;
    }
    ObservedEffect::Done
}

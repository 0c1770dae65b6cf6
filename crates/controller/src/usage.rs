//! The `usage` duty: closing windows and reporting them.

use std::collections::BTreeMap;

use bluebell_core::{
    ids::OrderId,
    orders::OrderRun,
    records::{DutyName, LogRecord, OrderBody, UsageWindow, WindowClose},
};
use tokio_util::sync::CancellationToken;

use crate::{context::DutyContext, steps};

/// Closes and reports windows while the duty is held here.
pub async fn run(context: DutyContext, token: CancellationToken) {
    let interval = context.settings.orders.interval.as_duration();
    let mut reports = BTreeMap::new();
    while !token.is_cancelled() {
        pass(&context, &mut reports).await;
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
    }
}

async fn pass(context: &DutyContext, reports: &mut BTreeMap<UsageWindow, OrderRun>) {
    let duty = DutyName::Usage;
    if context.desk.grant(&duty).is_none() {
        reports.clear();
        context.desk.set_busy(&duty, false);
        return;
    }
    close_window(context).await;
    let unreported: Vec<UsageWindow> = context
        .node
        .with_view(|view| view.usage.unreported().map(|(window, _)| window).collect());
    reports.retain(|window, _| unreported.contains(window));
    context.desk.set_busy(&duty, !unreported.is_empty());
    for window in unreported {
        let run = reports
            .entry(window)
            .or_insert_with(|| report_run(context, window));
        if steps::drive_order(context, &duty, run).await {
            reports.remove(&window);
        }
    }
    context.desk.set_busy(&duty, false);
}

/// A report has the same id whoever sends it, so that every process that ever
/// reports the window stands for the same intent.
fn report_run(context: &DutyContext, window: UsageWindow) -> OrderRun {
    let order = OrderId::new(format!("usage:{window}")).expect("a number is a valid id");
    let body = OrderBody::ReportUsage { window };
    OrderRun::new(order, body, true, context.order_rule())
}

async fn close_window(context: &DutyContext) {
    let settings = &context.settings.usage;
    let now = context.now();
    let due = context.node.with_view(|view| {
        view.usage
            .next_to_close(now, settings.window, settings.grace)
    });
    let Some(window) = due else { return };
    let Some(grant) = context.desk.grant(&DutyName::Usage) else {
        return;
    };
    let close = WindowClose {
        window,
        fence: grant.fence,
    };
    if context
        .append(LogRecord::WindowClose(close))
        .await
        .is_some()
    {
        let subjects = [format!("window:{window}")];
        let reason = "its end and the grace have passed";
        context.decide(&DutyName::Usage, &subjects, "usage window closed", reason);
    }
}

//! Retry budgets: time and memory by organisations.

use bluebell_core::{
    clock::ClockTime,
    ids::OrganisationId,
    retries::{RetryBudget, RetrySettings},
};

use crate::{
    slopes::measure::{micros_each, with_memory},
    tables::TextTable,
};

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Retry budgets",
        "`bluebell-lab capacity --only retries`",
        &["organisations", "µs per request", "memory, MB"],
    );
    for size in [100_u64, 1_000, 33_000] {
        let mut micros = 0.0;
        let (budget, bytes) = with_memory(|| {
            let mut budget = RetryBudget::new(RetrySettings::default()).with_seed(1);
            micros = micros_each(size * 2, || {
                for number in 0..size * 2 {
                    let name = format!("organisation-{}", number % size);
                    let organisation = OrganisationId::new(name).expect("an identifier");
                    budget.note_request(ClockTime::from_millis(number), &organisation);
                }
            });
            budget
        });
        table.row(&[
            size.to_string(),
            format!("{micros:.2}"),
            format!("{:.1}", bytes / 1e6),
        ]);
        std::mem::forget(budget);
    }
    table.finish()
}

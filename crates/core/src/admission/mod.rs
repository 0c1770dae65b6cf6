//! Who may start work now: deadlines, limits and fair shares.

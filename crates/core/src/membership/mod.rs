//! Which of our instances live, are ready, or leave.

//! Calls to endpoints: plain and streamed, with resume and cancel.

//! The web console of forms that produces and submits the document.

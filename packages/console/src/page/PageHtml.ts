/** HTML of the console's only page. `ConsolePage.ts` generates the form from the document's JSON schema. */
export const consolePageHtml = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>peridotloft console</title>
<style>
:root { color-scheme: light dark; font: 16px/1.45 system-ui, sans-serif; }
body { margin: 0 auto; max-width: 72rem; padding: 1rem; }
:focus-visible { outline: 3px solid #2563eb; outline-offset: 2px; }
fieldset { border: 1px solid #8886; border-radius: .4rem; margin: .6rem 0; padding: .5rem .8rem; }
fieldset.item { display: grid; grid-template-columns: repeat(auto-fill, minmax(15rem, 1fr)); gap: .4rem 1rem; }
fieldset.item > fieldset, fieldset.item > .buttons, fieldset.item > .error { grid-column: 1 / -1; }
legend { font-weight: 600; }
label { display: block; font-size: .9rem; }
input, select, textarea { box-sizing: border-box; font: inherit; width: 100%; }
input[type=checkbox] { width: auto; }
.hint { display: block; font-size: .8rem; opacity: .8; }
.error { color: #b91c1c; font-size: .9rem; }
@media (prefers-color-scheme: dark) { .error { color: #fca5a5; } }
[aria-invalid=true] { outline: 2px solid #b91c1c; }
button { font: inherit; margin: .15rem .3rem .15rem 0; padding: .25rem .7rem; }
#key { background: #fde68a; color: #111; padding: .6rem; border-radius: .4rem; }
nav { position: sticky; top: 0; background: Canvas; padding: .4rem 0; border-bottom: 1px solid #8886; z-index: 1; }
</style>
</head>
<body>
<h1>peridotloft console</h1>
<p>This page edits a draft and stores nothing. To keep the changes, submit the document to the platform or download it.</p>
<nav aria-label="Document">
<button id="load">Load from platform</button>
<label style="display:inline">Open a file <input id="open" type="file" accept=".json,application/json" style="width:auto"></label>
<button id="review">Check</button>
<button id="download">Download</button>
<button id="submit">Submit to platform</button>
<span id="status" role="status" aria-live="polite"></span>
</nav>
<p id="key" role="alert" hidden></p>
<section aria-labelledby="review-title">
<h2 id="review-title">Review</h2>
<ul id="errors" class="error"></ul>
<ul id="changes"></ul>
</section>
<section aria-labelledby="actions-title">
<h2 id="actions-title">Take out of service and return</h2>
<div id="actions"></div>
</section>
<section aria-labelledby="form-title">
<h2 id="form-title">Document</h2>
<form id="form" novalidate></form>
</section>
<script type="module" src="/ConsolePage.js"></script>
</body>
</html>
`;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Fills in a settings template: `{{a.b}}`, `{{.}}`, `{{@}}`, `{{,}}`, and the sections `{{#a}}..{{/a}}` and `{{^a}}..{{/a}}`. */
final class Template {
    private record Scope(Object value, Object key, boolean isLast, Scope outer) {}

    private Template() {}

    static String render(String text, Map<String, Object> fields) {
        return render(text, new Scope(fields, null, true, null));
    }

    private static String render(String text, Scope scope) {
        StringBuilder out = new StringBuilder();
        int at = 0;
        while (true) {
            int open = text.indexOf("{{", at);
            if (open < 0) return out.append(text, at, text.length()).toString();
            out.append(text, at, open);
            int close = text.indexOf("}}", open);
            String tag = text.substring(open + 2, close);
            at = close + 2;
            char kind = tag.charAt(0);
            if (kind != '#' && kind != '^') {
                out.append(value(tag, scope));
                continue;
            }
            String name = tag.substring(1);
            String end = "{{/" + name + "}}";
            int endAt = text.indexOf(end, at);
            String inner = text.substring(at, endAt);
            at = endAt + end.length();
            for (Scope entry : entries(find(name, scope), scope, kind == '^')) out.append(render(inner, entry));
        }
    }

    private static String value(String tag, Scope scope) {
        if (tag.equals(",")) return scope.isLast() ? "" : ",";
        if (tag.equals("@")) return String.valueOf(scope.key());
        Object found = tag.equals(".") ? scope.value() : find(tag, scope);
        return found == null ? "" : String.valueOf(found);
    }

    private static List<Scope> entries(Object value, Scope outer, boolean isInverted) {
        boolean isAbsent = value == null || Boolean.FALSE.equals(value);
        if (isInverted) return isAbsent ? List.of(outer) : List.of();
        if (isAbsent) return List.of();
        Map<Object, Object> all = new LinkedHashMap<>();
        if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) all.put(i, list.get(i));
        } else if (value instanceof Map<?, ?> map) {
            all.putAll(map);
        } else {
            return List.of(new Scope(value, null, true, outer));
        }
        List<Scope> scopes = new ArrayList<>();
        int left = all.size();
        for (Map.Entry<Object, Object> entry : all.entrySet()) {
            scopes.add(new Scope(entry.getValue(), entry.getKey(), --left == 0, outer));
        }
        return scopes;
    }

    private static Object find(String path, Scope scope) {
        for (Scope at = scope; at != null; at = at.outer()) {
            Object value = at.value();
            for (String part : path.split("\\.")) {
                if (value instanceof Map<?, ?> map) {
                    value = map.get(part);
                } else if (value instanceof List<?> list && part.matches("\\d+") && Integer.parseInt(part) < list.size()) {
                    value = list.get(Integer.parseInt(part));
                } else {
                    value = null;
                }
            }
            if (value != null) return value;
        }
        return null;
    }
}

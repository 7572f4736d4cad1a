import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Label;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * A step of the build that replaces each lambda and method reference of the compiled classes with a small class of its
 * own, and each implicit equals, hashCode and toString of a record with plain bytecode.
 *
 * <p>It shortens the start of the program. javac compiles these to invokedynamic instructions, which are linked at
 * their first execution: that takes about a hundred calls in the interpreter, even with an archive of classes, and a
 * record's equals needs a dozen classes that are generated at run time, which no archive can hold. Loading a class from
 * the archive takes a tenth of that time. The behaviour of the program stays the same: the new classes are members of
 * the same nest, so that they can call private methods, and those that capture nothing have a single instance.
 *
 * <p>Arguments: the directory of classes, then the packages below it to leave unchanged, because serving doesn't use
 * them. Classes that were transformed before are left unchanged. Run from source; ASM must be on the class path.
 */
public final class Unlambda implements Opcodes {
    private static final String FACTORY = "java/lang/invoke/LambdaMetafactory";
    private static final String RECORDS = "java/lang/runtime/ObjectMethods";
    /** The separator between the name of a class and the number of a lambda in it. */
    private static final String LAMBDA_INFIX = "$$L";

    private final Path root;
    /** New nest members by the name of their nest host. */
    private final Map<String, List<String>> newNestMembers = new HashMap<>();
    /** Class files to write, by class name. */
    private final Map<String, byte[]> classFiles = new TreeMap<>();

    private Unlambda(Path root) {
        this.root = root;
    }

    /** Transforms the classes in a directory. */
    public static void main(String[] args) throws IOException {
        var step = new Unlambda(Path.of(args[0]));
        List<Path> classPaths;
        try (Stream<Path> files = Files.walk(step.root)) {
            classPaths = files.filter(path -> path.toString().endsWith(".class")).sorted().toList();
        }
        for (Path file : classPaths) {
            String name = step.root.relativize(file).toString().replace('\\', '/');
            if (Stream.of(args).skip(1).noneMatch(excluded -> name.startsWith(excluded + "/"))) {
                step.transform(file);
            }
        }
        for (var host : step.newNestMembers.entrySet()) {
            step.addNestMembers(host.getKey(), host.getValue());
        }
        for (var entry : step.classFiles.entrySet()) {
            Files.write(step.root.resolve(entry.getKey() + ".class"), entry.getValue());
        }
    }

    private void transform(Path file) throws IOException {
        var reader = new ClassReader(Files.readAllBytes(file));
        var writer = new ClassWriter(0);
        var replacer = new LambdaReplacer(writer);
        reader.accept(replacer, 0);
        if (replacer.lambdaCount > 0 || !replacer.recordMethods.isEmpty()) {
            classFiles.put(reader.getClassName(), writer.toByteArray());
        }
    }

    /** Adds members to the nest of a host, whose class file lists them. */
    private void addNestMembers(String host, List<String> added) throws IOException {
        byte[] transformed = classFiles.get(host);
        var reader = new ClassReader(
                transformed != null ? transformed : Files.readAllBytes(root.resolve(host + ".class")));
        var writer = new ClassWriter(0);
        reader.accept(new ClassVisitor(ASM9, writer) {
            @Override
            public void visitEnd() {
                added.forEach(this::visitNestMember);
                super.visitEnd();
            }
        }, 0);
        classFiles.put(host, writer.toByteArray());
    }

    /** Copies a class and replaces each invokedynamic instruction of a lambda or a record with a static call. */
    private final class LambdaReplacer extends ClassVisitor {
        private String name;
        private String nest;
        private int lambdaCount;
        private final List<RecordMethod> recordMethods = new ArrayList<>();

        LambdaReplacer(ClassVisitor next) {
            super(ASM9, next);
        }

        @Override
        public void visit(int version, int access, String className, String signature, String parent,
                String[] interfaces) {
            name = className;
            nest = className;
            super.visit(version, access, className, signature, parent, interfaces);
        }

        @Override
        public void visitEnd() {
            recordMethods.forEach(method -> method.write(cv));
            super.visitEnd();
        }

        @Override
        public void visitNestHost(String host) {
            nest = host;
            super.visitNestHost(host);
        }

        @Override
        public MethodVisitor visitMethod(int access, String method, String descriptor, String signature,
                String[] thrown) {
            return new MethodVisitor(ASM9, super.visitMethod(access, method, descriptor, signature, thrown)) {
                @Override
                public void visitInvokeDynamicInsn(String called, String type, Handle bootstrap, Object... arguments) {
                    if (bootstrap.getOwner().equals(FACTORY) && bootstrap.getName().equals("metafactory")) {
                        String lambdaClass = name + LAMBDA_INFIX + lambdaCount++;
                        newNestMembers.computeIfAbsent(nest, n -> new ArrayList<>()).add(lambdaClass);
                        classFiles.put(lambdaClass, new Lambda(lambdaClass, nest, called, Type.getMethodType(type),
                                (Type) arguments[0], (Handle) arguments[1], (Type) arguments[2]).toClassFile());
                        visitMethodInsn(INVOKESTATIC, lambdaClass, "of", type, false);
                    } else if (bootstrap.getOwner().equals(RECORDS)) {
                        recordMethods.add(new RecordMethod(called, type, (Type) arguments[0],
                                ((String) arguments[1]).split(";"),
                                List.of(arguments).subList(2, arguments.length).stream().map(Handle.class::cast)
                                        .toList()));
                        visitMethodInsn(INVOKESTATIC, name, RecordMethod.PREFIX + called, type, false);
                    } else {
                        super.visitInvokeDynamicInsn(called, type, bootstrap, arguments);
                    }
                }
            };
        }
    }

    /**
     * A method of a record that javac compiles to an invokedynamic instruction.
     *
     * @param method     the method's name: equals, hashCode or toString
     * @param descriptor the descriptor, whose parameters are the record and, for equals, an object
     * @param fields     the record's components, in order
     */
    private record RecordMethod(String method, String descriptor, Type record, String[] names, List<Handle> fields) {
        static final String PREFIX = "record$";
        private static final int MAX_STACK = 6;

        void write(ClassVisitor writer) {
            MethodVisitor mv = writer.visitMethod(ACC_PRIVATE | ACC_STATIC | ACC_SYNTHETIC, PREFIX + method, descriptor,
                    null, null);
            mv.visitCode();
            switch (method) {
                case "equals" -> writeEquals(mv);
                case "hashCode" -> writeHashCode(mv);
                default -> writeToString(mv);
            }
            mv.visitMaxs(MAX_STACK, method.equals("equals") ? 2 : 1);
            mv.visitEnd();
        }

        private void loadField(MethodVisitor mv, int local, Handle field) {
            mv.visitVarInsn(ALOAD, local);
            if (local > 0) {
                mv.visitTypeInsn(CHECKCAST, record.getInternalName());
            }
            mv.visitFieldInsn(GETFIELD, field.getOwner(), field.getName(), field.getDesc());
        }

        private void writeEquals(MethodVisitor mv) {
            var notEqual = new Label();
            var notSame = new Label();
            mv.visitVarInsn(ALOAD, 0);
            mv.visitVarInsn(ALOAD, 1);
            mv.visitJumpInsn(IF_ACMPNE, notSame);
            mv.visitInsn(ICONST_1);
            mv.visitInsn(IRETURN);
            mv.visitLabel(notSame);
            mv.visitFrame(F_SAME, 0, null, 0, null);
            mv.visitVarInsn(ALOAD, 1);
            mv.visitTypeInsn(INSTANCEOF, record.getInternalName());
            mv.visitJumpInsn(IFEQ, notEqual);
            for (Handle field : fields) {
                loadField(mv, 0, field);
                loadField(mv, 1, field);
                Type type = Type.getType(field.getDesc());
                if (!Lambda.isPrimitive(type)) {
                    mv.visitMethodInsn(INVOKESTATIC, "java/util/Objects", "equals",
                            "(Ljava/lang/Object;Ljava/lang/Object;)Z", false);
                    mv.visitJumpInsn(IFEQ, notEqual);
                } else if (type.getSort() <= Type.INT) {
                    mv.visitJumpInsn(IF_ICMPNE, notEqual);
                } else { // by compare, as the JDK does it: a NaN equals itself
                    mv.visitMethodInsn(INVOKESTATIC, Lambda.boxOf(type), "compare", "(" + type + type + ")I", false);
                    mv.visitJumpInsn(IFNE, notEqual);
                }
            }
            mv.visitInsn(ICONST_1);
            mv.visitInsn(IRETURN);
            mv.visitLabel(notEqual);
            mv.visitFrame(F_SAME, 0, null, 0, null);
            mv.visitInsn(ICONST_0);
            mv.visitInsn(IRETURN);
        }

        private void writeHashCode(MethodVisitor mv) {
            mv.visitInsn(ICONST_0);
            for (Handle field : fields) {
                mv.visitIntInsn(BIPUSH, 31);
                mv.visitInsn(IMUL);
                loadField(mv, 0, field);
                Type type = Type.getType(field.getDesc());
                boolean isPrimitive = Lambda.isPrimitive(type);
                mv.visitMethodInsn(INVOKESTATIC, isPrimitive ? Lambda.boxOf(type) : "java/util/Objects", "hashCode",
                        "(" + (isPrimitive ? type.getDescriptor() : "Ljava/lang/Object;") + ")I", false);
                mv.visitInsn(IADD);
            }
            mv.visitInsn(IRETURN);
        }

        private void writeToString(MethodVisitor mv) {
            String builder = "java/lang/StringBuilder";
            String simpleName = record.getInternalName().substring(record.getInternalName().lastIndexOf('/') + 1);
            mv.visitTypeInsn(NEW, builder);
            mv.visitInsn(DUP);
            mv.visitLdcInsn(simpleName.substring(simpleName.lastIndexOf('$') + 1).replaceFirst("^[0-9]+", "") + "[");
            mv.visitMethodInsn(INVOKESPECIAL, builder, "<init>", "(Ljava/lang/String;)V", false);
            for (int i = 0; i < fields.size(); i++) {
                mv.visitLdcInsn((i == 0 ? "" : ", ") + names[i] + "=");
                mv.visitMethodInsn(INVOKEVIRTUAL, builder, "append", "(Ljava/lang/String;)L" + builder + ";", false);
                loadField(mv, 0, fields.get(i));
                Type type = Type.getType(fields.get(i).getDesc());
                String parameter = !Lambda.isPrimitive(type) ? "Ljava/lang/Object;"
                        : type.getSort() == Type.BYTE || type.getSort() == Type.SHORT ? "I" : type.getDescriptor();
                mv.visitMethodInsn(INVOKEVIRTUAL, builder, "append", "(" + parameter + ")L" + builder + ";", false);
            }
            mv.visitLdcInsn("]");
            mv.visitMethodInsn(INVOKEVIRTUAL, builder, "append", "(Ljava/lang/String;)L" + builder + ";", false);
            mv.visitMethodInsn(INVOKEVIRTUAL, builder, "toString", "()Ljava/lang/String;", false);
            mv.visitInsn(ARETURN);
        }
    }

    /**
     * The class that replaces a lambda or method reference.
     *
     * @param method       the name of the interface's single method
     * @param factoryType  the type of the factory, from the captured values to the interface
     * @param erased       the method's erased type, which the interface declares
     * @param target       the method that the lambda calls
     * @param instantiated the method's type with the type arguments of this lambda
     */
    private record Lambda(String name, String nest, String method, Type factoryType, Type erased, Handle target,
            Type instantiated) {
        byte[] toClassFile() {
            var writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
            writer.visit(V17, ACC_FINAL | ACC_SUPER | ACC_SYNTHETIC, name, null, "java/lang/Object",
                    new String[] {factoryType.getReturnType().getInternalName()});
            writer.visitNestHost(nest);
            Type[] captured = factoryType.getArgumentTypes();
            for (int i = 0; i < captured.length; i++) {
                writer.visitField(ACC_PRIVATE | ACC_FINAL, "c" + i, captured[i].getDescriptor(), null, null).visitEnd();
            }
            writeConstructor(writer, captured);
            writeFactory(writer, captured);
            writeMethod(writer, captured);
            writer.visitEnd();
            return writer.toByteArray();
        }

        private void writeConstructor(ClassWriter writer, Type[] captured) {
            MethodVisitor mv = writer.visitMethod(ACC_PRIVATE, "<init>",
                    Type.getMethodDescriptor(Type.VOID_TYPE, captured),
                    null, null);
            mv.visitCode();
            mv.visitVarInsn(ALOAD, 0);
            mv.visitMethodInsn(INVOKESPECIAL, "java/lang/Object", "<init>", "()V", false);
            int local = 1;
            for (int i = 0; i < captured.length; i++) {
                mv.visitVarInsn(ALOAD, 0);
                mv.visitVarInsn(captured[i].getOpcode(ILOAD), local);
                mv.visitFieldInsn(PUTFIELD, name, "c" + i, captured[i].getDescriptor());
                local += captured[i].getSize();
            }
            finish(mv, RETURN);
        }

        /** Writes {@code of}, which creates an instance, or returns the single instance if nothing is captured. */
        private void writeFactory(ClassWriter writer, Type[] captured) {
            String self = "L" + name + ";";
            if (captured.length == 0) {
                writer.visitField(ACC_PRIVATE | ACC_STATIC | ACC_FINAL, "ONE", self, null, null).visitEnd();
                MethodVisitor initializer = writer.visitMethod(ACC_STATIC, "<clinit>", "()V", null, null);
                initializer.visitCode();
                instantiate(initializer, captured);
                initializer.visitFieldInsn(PUTSTATIC, name, "ONE", self);
                finish(initializer, RETURN);
            }
            MethodVisitor mv = writer.visitMethod(ACC_STATIC, "of", factoryType.getDescriptor(), null, null);
            mv.visitCode();
            if (captured.length == 0) {
                mv.visitFieldInsn(GETSTATIC, name, "ONE", self);
            } else {
                instantiate(mv, captured);
            }
            finish(mv, ARETURN);
        }

        private void instantiate(MethodVisitor mv, Type[] captured) {
            mv.visitTypeInsn(NEW, name);
            mv.visitInsn(DUP);
            int local = 0;
            for (Type type : captured) {
                mv.visitVarInsn(type.getOpcode(ILOAD), local);
                local += type.getSize();
            }
            mv.visitMethodInsn(INVOKESPECIAL, name, "<init>", Type.getMethodDescriptor(Type.VOID_TYPE, captured),
                    false);
        }

        /** Writes the interface's method, which calls the target with the captured values and its own arguments. */
        private void writeMethod(ClassWriter writer, Type[] captured) {
            MethodVisitor mv = writer.visitMethod(ACC_PUBLIC, method, erased.getDescriptor(), null, null);
            mv.visitCode();
            boolean isConstructor = target.getTag() == H_NEWINVOKESPECIAL;
            if (isConstructor) {
                mv.visitTypeInsn(NEW, target.getOwner());
                mv.visitInsn(DUP);
            }
            var targetTypes = new ArrayList<Type>();
            if (target.getTag() != H_INVOKESTATIC && !isConstructor) {
                targetTypes.add(Type.getObjectType(target.getOwner()));
            }
            targetTypes.addAll(List.of(Type.getArgumentTypes(target.getDesc())));
            for (int i = 0; i < captured.length; i++) {
                mv.visitVarInsn(ALOAD, 0);
                mv.visitFieldInsn(GETFIELD, name, "c" + i, captured[i].getDescriptor());
                convert(mv, captured[i], targetTypes.get(i));
            }
            Type[] argumentTypes = erased.getArgumentTypes();
            int local = 1;
            for (int i = 0; i < argumentTypes.length; i++) {
                mv.visitVarInsn(argumentTypes[i].getOpcode(ILOAD), local);
                local += argumentTypes[i].getSize();
                convert(mv, argumentTypes[i], instantiated.getArgumentTypes()[i]);
                convert(mv, instantiated.getArgumentTypes()[i], targetTypes.get(captured.length + i));
            }
            int invocation = switch (target.getTag()) {
                case H_INVOKESTATIC -> INVOKESTATIC;
                case H_NEWINVOKESPECIAL -> INVOKESPECIAL;
                default -> target.isInterface() ? INVOKEINTERFACE : INVOKEVIRTUAL;
            };
            mv.visitMethodInsn(invocation, target.getOwner(), target.getName(), target.getDesc(), target.isInterface());
            Type returned = isConstructor ? Type.getObjectType(target.getOwner())
                    : Type.getReturnType(target.getDesc());
            Type expected = erased.getReturnType();
            if (expected.getSort() == Type.VOID) {
                if (returned.getSize() > 0) {
                    mv.visitInsn(returned.getSize() == 2 ? POP2 : POP);
                }
            } else {
                convert(mv, returned, instantiated.getReturnType());
                convert(mv, instantiated.getReturnType(), expected);
            }
            finish(mv, expected.getOpcode(IRETURN));
        }

        private static void finish(MethodVisitor mv, int returnOpcode) {
            mv.visitInsn(returnOpcode);
            mv.visitMaxs(0, 0);
            mv.visitEnd();
        }

        /** Writes a conversion that a method call allows: a cast, boxing, unboxing or a widening of a number. */
        private static void convert(MethodVisitor mv, Type from, Type into) {
            if (from.equals(into)) {
                return;
            }
            if (isPrimitive(from) && isPrimitive(into)) {
                widen(mv, from, into);
            } else if (isPrimitive(from)) {
                mv.visitMethodInsn(INVOKESTATIC, boxOf(from), "valueOf", "(" + from + ")L" + boxOf(from) + ";", false);
            } else if (isPrimitive(into)) {
                Type boxed = from;
                Type primitive = unboxed(from);
                if (primitive == null) { // a supertype of the boxes: the value must be the box of the target type
                    primitive = into;
                    boxed = Type.getObjectType(boxOf(into));
                    mv.visitTypeInsn(CHECKCAST, boxed.getInternalName());
                }
                mv.visitMethodInsn(INVOKEVIRTUAL, boxed.getInternalName(), primitive.getClassName() + "Value",
                        "()" + primitive, false);
                widen(mv, primitive, into);
            } else if (!into.getInternalName().equals("java/lang/Object")) {
                mv.visitTypeInsn(CHECKCAST, into.getInternalName());
            }
        }

        private static void widen(MethodVisitor mv, Type from, Type into) {
            if (from.equals(into)) {
                return;
            }
            int target = into.getSort();
            int opcode = switch (from.getSort()) {
                case Type.LONG -> target == Type.FLOAT ? L2F : L2D;
                case Type.FLOAT -> F2D;
                default -> target == Type.LONG ? I2L : target == Type.FLOAT ? I2F : target == Type.DOUBLE ? I2D : NOP;
            };
            mv.visitInsn(opcode);
        }

        private static boolean isPrimitive(Type type) {
            return type.getSort() < Type.ARRAY;
        }

        private static String boxOf(Type type) {
            return switch (type.getSort()) {
                case Type.BOOLEAN -> "java/lang/Boolean";
                case Type.CHAR -> "java/lang/Character";
                case Type.BYTE -> "java/lang/Byte";
                case Type.SHORT -> "java/lang/Short";
                case Type.INT -> "java/lang/Integer";
                case Type.LONG -> "java/lang/Long";
                case Type.FLOAT -> "java/lang/Float";
                default -> "java/lang/Double";
            };
        }

        private static Type unboxed(Type type) {
            return Stream.of(Type.BOOLEAN_TYPE, Type.CHAR_TYPE, Type.BYTE_TYPE, Type.SHORT_TYPE, Type.INT_TYPE,
                    Type.LONG_TYPE, Type.FLOAT_TYPE, Type.DOUBLE_TYPE)
                    .filter(p -> boxOf(p).equals(type.getInternalName())).findFirst().orElse(null);
        }
    }
}
